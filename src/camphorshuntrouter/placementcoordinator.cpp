#include "placementcoordinator.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>

#include <xxhash.h>

namespace camphorshunt::router {

namespace {

using std::chrono::milliseconds;

/** Time for the other routers to report their running requests to a new placer. */
constexpr auto handoverTime = Duration(milliseconds(40));
/** Routers with a smaller share of the processor, compared with the largest share, place no requests: placing
 * for a whole service takes more than a small router has.
 */
constexpr auto minShareOfLargest = 0.5;
/** After this a configuration that names the service may have arrived here too. */
constexpr auto unknownServiceRetry = milliseconds(200);

} // namespace

auto placerOf(ServiceId service, std::span<const LiveRouter> routers) -> RouterId
{
    auto largestShare = 0.0;
    for (const auto& candidate : routers)
        largestShare = std::max(largestShare, candidate.processorShare);
    auto best = RouterId {};
    auto bestScore = std::numeric_limits<double>::infinity();
    for (const auto& candidate : routers) {
        if (candidate.processorShare < minShareOfLargest * largestShare)
            continue;
        const auto key = std::array { service.value, candidate.router.value };
        // Uniform in (0, 1]. The smallest exponential variate wins; its rate is the router's weight.
        constexpr auto range = 1.0 / 18446744073709551616.0;
        const auto draw = (double(XXH64(key.data(), sizeof(key), 0)) + 1.0) * range;
        const auto score = -std::log(std::min(draw, 1.0)) / std::max(candidate.processorShare, 0.01);
        if (score < bestScore || (score == bestScore && candidate.router > best)) {
            bestScore = score;
            best = candidate.router;
        }
    }
    return best;
}

PlacementCoordinator::PlacementCoordinator(RouterId self, const Placer::Settings& settings)
    : self_(self)
    , settings_(settings)
    , candidates_ { { self, 1 } }
{
}

auto PlacementCoordinator::service(ServiceId id) -> Service&
{
    auto& service = services_[id];
    if (!service.placer) {
        service.placer = std::make_unique<Placer>(settings_);
        service.placer->setFraction(fraction_);
        service.owner = placerOf(id, candidates_);
        service.placer->setPlacesService({}, service.owner == self_);
        outputs_.placerChanges.push_back({ id, {}, service.owner });
    }
    return service;
}

auto PlacementCoordinator::setFleet(Time now, const RouteTable& table, const UpstreamList& upstreams) -> void
{
    for (const auto& declared : table.configuration().services) {
        if (!declared.engine)
            continue;
        const auto id = declared.id();
        auto engines = UpstreamList {};
        std::ranges::copy_if(upstreams, std::back_inserter(engines),
            [id](const UpstreamEntry& entry) { return entry.service == id; });
        auto& placer = *service(id).placer;
        placer.setTraits(*declared.engine, table.configuration().tokensPerSecond);
        placer.setUpstreams(now, engines);
    }
    applyEarlyCrashes(now);
}

auto PlacementCoordinator::setRouters(Time now, Routers routers) -> void
{
    candidates_ = std::move(routers.candidates);
    fraction_ = double(routers.live) / double(std::max(routers.recent, routers.live));
    for (auto& [id, service] : services_) {
        service.placer->setFraction(fraction_);
        const auto owner = placerOf(id, candidates_);
        if (owner == service.owner)
            continue;
        outputs_.placerChanges.push_back({ id, service.owner, owner });
        const auto wasOwn = std::exchange(service.owner, owner) == self_;
        service.placer->setPlacesService(now, owner == self_);
        if (wasOwn)
            handOverEvidence(now, id, service);
        if (owner == self_ && routers.live > 1)
            service.handoverEnd = now + handoverTime;
    }
    for (auto& [number, own] : ownRequests_) {
        if (own.placer == service(own.request.service).owner)
            continue;
        withdraw(now, own);
        sendToPlacer(now, own);
    }
}

auto PlacementCoordinator::removeRouter(Time now, RouterId router) -> void
{
    for (auto& [id, service] : services_)
        service.placer->removeRouter(now, router);
}

auto PlacementCoordinator::requestPlacement(Time now, PeerPlacementRequest placement) -> void
{
    const auto number = placement.request.key.number;
    auto& request = placement.request;
    request.key.router = self_;
    request.goal = now + placement.goalLeft;
    request.deadline = now + placement.deadlineLeft;
    auto own = OwnRequest {};
    own.request = std::move(request);
    sendToPlacer(now, ownRequests_.insert_or_assign(number, std::move(own)).first->second);
}

auto PlacementCoordinator::sendToPlacer(Time now, OwnRequest& own) -> void
{
    auto& target = service(own.request.service);
    own.placer = target.owner;
    if (own.placer == self_) {
        if (own.upstream)
            target.placer->adoptRequest(now, { own.request, *own.upstream, own.started });
        else
            target.placer->submit(now, own.request);
        return;
    }
    auto placement = PeerPlacementRequest {};
    placement.request = own.request;
    placement.goalLeft = own.request.goal - now;
    placement.deadlineLeft = own.request.deadline - now;
    placement.runningAt = own.upstream;
    placement.started = own.started;
    outputs_.frames[own.placer].placementRequests.push_back(std::move(placement));
    outputs_.urgent = true;
}

auto PlacementCoordinator::withdraw(Time now, const OwnRequest& own) -> void
{
    const auto report = PeerReport { own.request.key.number, own.request.service, PeerReportKind::Withdrawn,
        PlacementEnd::Cancelled };
    if (own.placer == self_)
        applyReport(now, own.request.key, report);
    else
        outputs_.frames[own.placer].reports.push_back(report);
}

auto PlacementCoordinator::report(Time now, const PeerReport& report) -> void
{
    const auto found = ownRequests_.find(report.number);
    if (found == ownRequests_.end())
        return;
    auto& own = found->second;
    if (own.placer == self_)
        applyReport(now, own.request.key, report);
    else
        outputs_.frames[own.placer].reports.push_back(report);
    if (report.kind == PeerReportKind::Started)
        own.started = true;
    else
        ownRequests_.erase(found);
}

auto PlacementCoordinator::applyReport(Time now, const PlacementKey& key, const PeerReport& report) -> void
{
    auto& placer = *service(report.service).placer;
    switch (report.kind) {
    case PeerReportKind::Withdrawn:
        placer.withdraw(key);
        placer.onEnded(now, key, PlacementEnd::Cancelled);
        break;
    case PeerReportKind::Started:
        placer.onStarted(now, key);
        break;
    case PeerReportKind::Ended:
        placer.onEnded(now, key, report.end);
        break;
    }
}

auto PlacementCoordinator::reportAvailability(Time now, const PeerAvailability& availability) -> void
{
    const auto found = services_.find(availability.service);
    if (found == services_.end())
        return;
    // Applies here in any case, as this router may place for the service later.
    applyAvailability(now, self_, availability);
    const auto owner = found->second.owner;
    if (owner == self_)
        return;
    outputs_.frames[owner].availability.push_back(availability);
    outputs_.urgent = true;
}

auto PlacementCoordinator::applyAvailability(Time now, RouterId router, const PeerAvailability& availability)
    -> void
{
    const auto found = services_.find(availability.service);
    if (found == services_.end())
        return;
    auto& placer = *found->second.placer;
    if (availability.leaving)
        placer.recordLeaving(now, availability.process);
    if (availability.rest > milliseconds(0))
        placer.recordRest(now, availability.process, router, now + availability.rest);
}

auto PlacementCoordinator::refuseUnknown(RouterId peer, const PeerFrame& frame) -> bool
{
    auto unknown = std::optional<ServiceId> {};
    for (const auto& report : frame.reports) {
        if (!services_.contains(report.service))
            unknown = report.service;
    }
    for (const auto& placement : frame.placementRequests) {
        const auto& request = placement.request;
        if (services_.contains(request.service))
            continue;
        unknown = request.service;
        if (placement.runningAt)
            continue;
        auto refusal = PeerPlacementDecision {};
        refusal.number = request.key.number;
        refusal.service = request.service;
        refusal.reason = RefusalReason::NoUpstream;
        refusal.retryAfter = unknownServiceRetry;
        outputs_.frames[peer].placementDecisions.push_back(refusal);
        outputs_.urgent = true;
    }
    if (unknown)
        outputs_.unknownServices.emplace_back(peer, *unknown);
    return unknown.has_value();
}

auto PlacementCoordinator::handleFrame(Time now, RouterId peer, const PeerFrame& frame) -> void
{
    for (const auto& availability : frame.availability)
        applyAvailability(now, peer, availability);
    const auto hasUnknown = refuseUnknown(peer, frame);
    for (const auto& report : frame.reports) {
        if (!hasUnknown || services_.contains(report.service))
            applyReport(now, { peer, report.number }, report);
    }
    for (const auto& placement : frame.placementRequests) {
        if (hasUnknown && !services_.contains(placement.request.service))
            continue;
        auto request = placement.request;
        request.key.router = peer;
        request.goal = now + placement.goalLeft;
        request.deadline = now + placement.deadlineLeft;
        auto& placer = *service(request.service).placer;
        if (placement.runningAt)
            placer.adoptRequest(now, { std::move(request), *placement.runningAt, placement.started });
        else
            placer.submit(now, std::move(request));
    }
    for (const auto& decision : frame.placementDecisions)
        handleDecision(peer, decision);
}

auto PlacementCoordinator::handleDecision(RouterId peer, const PeerPlacementDecision& decision) -> void
{
    const auto found = ownRequests_.find(decision.number);
    const auto isCurrent
        = found != ownRequests_.end() && found->second.placer == peer && !found->second.upstream;
    if (!isCurrent) {
        // The request has ended, or was submitted to another placer since: release the slot.
        if (decision.upstream) {
            outputs_.frames[peer].reports.push_back(
                { decision.number, decision.service, PeerReportKind::Ended, PlacementEnd::Cancelled });
        }
        return;
    }
    reportToRelay(found, decision);
}

auto PlacementCoordinator::reportToRelay(OwnRequests::iterator own, const PeerPlacementDecision& decision)
    -> void
{
    const auto placer = own->second.placer;
    if (decision.upstream)
        own->second.upstream = decision.upstream;
    else
        ownRequests_.erase(own);
    outputs_.placementDecisions.push_back(decision);
    outputs_.placementDecisions.back().inputs.placer = placer;
}

auto PlacementCoordinator::routeDecision(ServiceId service, const PlacementDecision& decision) -> void
{
    auto key = PlacementKey {};
    auto packed = PeerPlacementDecision {};
    packed.service = service;
    if (const auto* const placed = std::get_if<PlacementAccepted>(&decision)) {
        key = placed->key;
        packed.upstream = placed->upstream;
        packed.copyFrom = placed->copyFrom;
        packed.inputs = placed->inputs;
    } else {
        const auto& refused = std::get<PlacementRefused>(decision);
        key = refused.key;
        packed.reason = refused.reason;
        packed.retryAfter = refused.retryAfter;
        packed.inputs = refused.inputs;
    }
    packed.number = key.number;
    if (key.router != self_) {
        outputs_.frames[key.router].placementDecisions.push_back(packed);
        outputs_.urgent = true;
        return;
    }
    const auto found = ownRequests_.find(key.number);
    if (found != ownRequests_.end())
        reportToRelay(found, packed);
}

auto PlacementCoordinator::placeWaiting(Time now) -> void
{
    for (auto& [id, service] : services_) {
        for (auto& change : service.placer->takeQuarantineChanges())
            outputs_.quarantines.push_back({ id, change });
        for (const auto& report : service.placer->takeCrashReports())
            outputs_.crashes.push_back(toldAt(now, id, report));
        for (const auto& engine : service.placer->takeEngineQueries())
            outputs_.engineQueries.push_back({ id, engine });
        if (now < service.handoverEnd)
            continue;
        for (const auto& decision : service.placer->placeWaiting(now))
            routeDecision(id, decision);
    }
}

auto PlacementCoordinator::holdPlacing(Time now) -> void
{
    for (auto& [id, service] : services_)
        service.handoverEnd = now + handoverTime;
}

auto PlacementCoordinator::takeReports(std::size_t limit) -> std::vector<ServiceReport>
{
    auto reports = std::vector<ServiceReport> {};
    for (const auto& [id, service] : services_) {
        if (service.owner == self_)
            reports.push_back({ id, service.placer->takeReports(limit) });
    }
    return reports;
}

auto PlacementCoordinator::waiting() const -> std::size_t
{
    auto count = std::size_t { 0 };
    for (const auto& [id, service] : services_)
        count += service.placer->waiting();
    return count;
}

auto PlacementCoordinator::ownedServices() const -> std::size_t
{
    const auto owned
        = std::ranges::count_if(services_, [this](const auto& entry) { return entry.second.owner == self_; });
    return static_cast<std::size_t>(owned);
}

auto PlacementCoordinator::placerOfService(ServiceId service) const -> std::optional<RouterId>
{
    const auto found = services_.find(service);
    return found == services_.end() ? std::nullopt : std::optional(found->second.owner);
}

auto PlacementCoordinator::placers() const -> std::set<RouterId>
{
    auto owners = std::set<RouterId> {};
    for (const auto& [id, service] : services_)
        owners.insert(service.owner);
    return owners;
}

} // namespace camphorshunt::router
