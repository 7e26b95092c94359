#include "relay.h"

#include <algorithm>
#include <utility>

#include "clock.h"

// Messages between the relay and the scheduler.

namespace camphorshunt::router {

using namespace std::chrono_literals;

auto Relay::requestPlacement(PeerPlacementRequest place) -> void
{
    const auto number = place.request.key.number;
    const auto service = place.request.service;
    if (toScheduler_.tryPush(RequestPlacement { std::move(place) }))
        return;
    // The scheduler's queue is full. Nothing has been sent, so the caller may retry.
    boost::asio::post(context_, [this, number, service] {
        handle(PlacementDecided {
            { number, service, std::nullopt, std::nullopt, RefusalReason::OverShare, 500ms, {} } });
    });
}

auto Relay::withdraw(std::uint64_t number, ServiceId service) -> void
{
    toScheduler_.push(PeerReport { number, service, PeerReportKind::Withdrawn, PlacementEnd::Cancelled });
}

auto Relay::reportStart(std::uint64_t number, ServiceId service) -> void
{
    toScheduler_.push(PeerReport { number, service, PeerReportKind::Started, PlacementEnd::Finished });
}

auto Relay::reportEnd(std::uint64_t number, ServiceId service, PlacementEnd end) -> void
{
    toScheduler_.push(PeerReport { number, service, PeerReportKind::Ended, end });
}

auto Relay::handleMessage(SchedulerToRelay message) -> void
{
    std::visit([this](const auto& item) { handle(item); }, message);
}

auto Relay::handle(const PlacementDecided& decided) -> void
{
    const auto& decision = decided.decision;
    const auto found = exchanges_.find(decision.number);
    if (found == exchanges_.end()) {
        if (decision.upstream)
            reportEnd(decision.number, decision.service, PlacementEnd::Cancelled);
        return;
    }
    const auto exchange = found->second->shared_from_this();
    if (decision.upstream || decision.number == exchange->number())
        exchange->setPlacementInputs(decision.inputs);
    if (!decision.upstream) {
        exchange->onRefused(decision.number, decision.reason, decision.retryAfter);
        return;
    }
    const auto upstream = byId_.find(*decision.upstream);
    if (upstream != byId_.end()) {
        const auto source = decision.copyFrom ? byId_.find(*decision.copyFrom) : byId_.end();
        exchange->onPlaced(
            decision.number, *upstream->second, source == byId_.end() ? nullptr : source->second);
        return;
    }
    // The upstream has been removed from the directory since it was chosen.
    reportEnd(decision.number, decision.service, PlacementEnd::Cancelled);
    exchange->placeAgain(decision.number, { *decision.upstream, {}, {} });
}

auto Relay::handle(const FleetChanged& changed) -> void
{
    if (changed.table && (!table_ || changed.table->version() != table_->version())) {
        log(LogLevel::Info, "configuration-in-use",
            { { "version", std::to_string(changed.table->version()) },
                { "after-ms", std::to_string(inMilliseconds(steadyNow() - changed.appliedAt).count()) } });
    }
    table_ = changed.table;
    upstreams_ = changed.upstreams;
    routers_ = std::max<std::size_t>(1, changed.routers);
    availability_.setUpstreams(steadyNow(), *upstreams_);
    byId_.clear();
    auto byService = std::map<ServiceId, std::vector<UpstreamEntry>> {};
    for (const auto& entry : *upstreams_) {
        byId_.emplace(entry.id(), &entry);
        byService[entry.service].push_back(entry);
    }
    if (!table_)
        return;
    for (const auto& service : table_->configuration().services) {
        if (!service.engine)
            balancer(service.id()).setUpstreams(byService[service.id()]);
    }
}

auto Relay::handle(const StartDrain& drain) -> void
{
    draining_ = true;
    drainBegan_ = steadyNow();
    drainEnds_ = drainBegan_ + drain.left;
}

} // namespace camphorshunt::router
