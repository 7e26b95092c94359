#include "relay.h"

#include <algorithm>
#include <utility>

#include <sys/socket.h>
#include <unistd.h>

#include "clock.h"
#include "listening.h"

namespace camphorshunt::router {

namespace {

using namespace std::chrono_literals;

/** Resolution of deadlines and other timeouts. */
constexpr auto tickInterval = 15ms;
constexpr auto sweepInterval = Duration(250ms);
/** New connections are accepted for this long into a drain, while callers switch to other routers. */
constexpr auto acceptInDrain = Duration(3500ms);
/** Streams that begin later into a drain than this are refused: they might not end before the process. */
constexpr auto streamsInDrain = Duration(2400ms);
constexpr auto acceptPause = 50ms;
/** Connections accepted before other work gets its turn, and those of them that are served. */
constexpr auto maxAcceptsPerTurn = std::size_t { 256 };
constexpr auto maxAdmittedPerTurn = std::size_t { 16 };
/** Those in an overload. The others that wait are closed before they are read, up to a limit. */
constexpr auto maxAdmittedInOverload = std::size_t { 4 };
constexpr auto maxShedPerTurn = std::size_t { 512 };
/** Time without listening when connections arrive faster than they can be closed. */
constexpr auto listeningPause = 100ms;
/** A relay whose ticks are delayed by less is not reported. */
constexpr auto reportedDelay = Duration(100ms);

} // namespace

Relay::Relay(boost::asio::io_context& context, const Settings& settings, Ring<RelayToScheduler>& toScheduler,
    RouterLog& log, RouterMetrics& metrics, SharedState& state)
    : context_(context)
    , settings_(settings)
    , failureDomain_(hashName(settings.failureDomain))
    , toScheduler_(toScheduler)
    , log_(log)
    , metrics_(metrics)
    , state_(state)
    , acceptor_(context)
    , acceptTimer_(context)
    , timer_(context)
    , pool_(context)
    , overload_(settings.seed)
    , random_(settings.seed)
{
}

auto Relay::listen(boost::asio::io_context& context, const Settings& settings,
    Ring<RelayToScheduler>& toScheduler, RouterLog& log, RouterMetrics& metrics, SharedState& state)
    -> Result<std::unique_ptr<Relay>>
{
    auto relay = std::unique_ptr<Relay>(new Relay(context, settings, toScheduler, log, metrics, state));
    const auto opened = relay->openAcceptor();
    if (!opened)
        return opened.error();
    relay->accept();
    relay->tick();
    return Result<std::unique_ptr<Relay>>(std::move(relay));
}

Relay::~Relay()
{
    // Pending operations keep connections in existence for as long as the event loop, which outlives the
    // relay.
    for (const auto& [key, weak] : std::exchange(callers_, {})) {
        if (const auto caller = weak.lock())
            caller->stop();
    }
}

auto Relay::accept() -> void
{
    acceptor_.async_wait(Tcp::acceptor::wait_read, [this](const boost::system::error_code& error) {
        if (!error && acceptor_.is_open())
            acceptWaiting();
    });
}

auto Relay::acceptWaiting() -> void
{
    const auto isOverloaded = overload_.isOverloaded();
    const auto maxAdmitted = isOverloaded ? maxAdmittedInOverload : maxAdmittedPerTurn;
    auto admitted = std::size_t { 0 };
    for (auto count = std::size_t { 0 }; count < maxAcceptsPerTurn && admitted < maxAdmitted; ++count) {
        auto error = boost::system::error_code {};
        auto socket = acceptor_.accept(error);
        if (error == boost::asio::error::would_block)
            break;
        if (error) {
            // For example no descriptor is free; an immediate retry would spin.
            log(LogLevel::Warning, "accept-failed", { { "error", error.message() } });
            acceptAfter(acceptPause);
            return;
        }
        ++accepted_;
        if (callers_.size() >= settings_.maxCallers) {
            ++shed_;
            continue;
        }
        ++admitted;
        const auto caller = std::make_shared<CallerConnection>(std::move(socket), *this);
        callers_.emplace(caller.get(), caller);
        caller->start();
    }
    const auto shed = isOverloaded ? shedWaiting() : 0;
    shed_ += shed;
    accepted_ += shed;
    if (shed == maxShedPerTurn)
        pauseListening();
    else
        accept();
}

/**
 * Closes waiting connections before anything is read from them, so that their callers may send the same
 * request to another router; returns their number. Without sockets of Asio, whose set-up costs several system
 * calls more.
 */
auto Relay::shedWaiting() -> std::size_t
{
    auto shed = std::size_t { 0 };
    while (shed < maxShedPerTurn) {
        const auto descriptor = ::accept4(acceptor_.native_handle(), nullptr, nullptr, SOCK_CLOEXEC);
        if (descriptor < 0)
            break;
        ::close(descriptor);
        ++shed;
    }
    return shed;
}

auto Relay::acceptAfter(std::chrono::milliseconds pause) -> void
{
    acceptTimer_.expires_after(pause);
    acceptTimer_.async_wait([this](const boost::system::error_code& error) {
        if (!error && acceptor_.is_open())
            accept();
    });
}

/** The kernel refuses connections meanwhile, which costs no processor time, and their callers go elsewhere.
 */
auto Relay::pauseListening() -> void
{
    ++listeningPauses_;
    auto ignored = boost::system::error_code {};
    acceptor_.close(ignored);
    acceptTimer_.expires_after(listeningPause);
    acceptTimer_.async_wait([this](const boost::system::error_code& error) {
        if (!error && !stopsAccepting(steadyNow()))
            resumeListening();
    });
}

auto Relay::resumeListening() -> void
{
    const auto opened = openAcceptor();
    if (opened) {
        accept();
        return;
    }
    log(LogLevel::Error, "listen-failed", { { "error", opened.error().text() } });
    pauseListening();
}

auto Relay::openAcceptor() -> Result<void>
{
    const auto opened = net::listenOn(acceptor_, settings_.listen, "listen.callers");
    if (!opened)
        return opened.error();
    auto error = boost::system::error_code {};
    acceptor_.non_blocking(true, error);
    if (error)
        return failure(Error::Code::Io, "listen.callers", error.message());
    return boost::outcome_v2::success();
}

auto Relay::limits() const -> const CallerLimits&
{
    static const auto unset = CallerLimits {};
    return table_ ? table_->limits() : unset;
}

auto Relay::balancer(ServiceId service) -> ServiceBalancer&
{
    return balancers_.try_emplace(service, random_()).first->second;
}

auto Relay::retryBudget(ServiceId service) -> RetryWindow&
{
    auto& budget = retryBudgets_.try_emplace(service, settings_.retries).first->second;
    budget.setRouters(routers_);
    return budget;
}

auto Relay::addExchange(Exchange& exchange) -> std::uint64_t
{
    const auto number = nextNumber_++;
    exchanges_.emplace(number, &exchange);
    return number;
}

auto Relay::scheduleCheck(const std::shared_ptr<Exchange>& exchange, Time time) -> void
{
    checks_.emplace(time, exchange);
}

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
    exchange->placeAgain(decision.number, *decision.upstream);
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

auto Relay::handle(const StartDrain& /*drain*/) -> void
{
    draining_ = true;
    drainBegan_ = steadyNow();
}

auto Relay::stopsAccepting(Time now) const -> bool { return draining_ && now - drainBegan_ > acceptInDrain; }

auto Relay::acceptsStreams() const -> bool
{
    return !draining_ || steadyNow() - drainBegan_ < streamsInDrain;
}

auto Relay::tick() -> void
{
    tickDue_ = steadyNow() + tickInterval;
    timer_.expires_after(tickInterval);
    timer_.async_wait([this](const boost::system::error_code& error) {
        if (error)
            return;
        const auto now = steadyNow();
        reportLoad(now);
        watchOverload(now);
        checkExchanges(now);
        if (now >= nextSweep_)
            sweep(now);
        tick();
    });
}

auto Relay::reportLoad(Time now) -> void
{
    const auto report = load_.tick(now, tickDue_);
    metrics_.relayTick(load_.late());
    if (!report)
        return;
    metrics_.setCallers(callers_.size());
    const auto accepted = std::exchange(accepted_, 0);
    const auto shed = std::exchange(shed_, 0);
    const auto pauses = std::exchange(listeningPauses_, 0);
    if (report->late < reportedDelay && callers_.size() < settings_.maxCallers)
        return;
    const auto milliseconds = [](Duration time) { return std::to_string(inMilliseconds(time).count()); };
    log(LogLevel::Warning, "relay-load",
        { { "late-ms", milliseconds(report->late) }, { "processor-ms", milliseconds(report->processor) },
            { "callers", std::to_string(callers_.size()) }, { "limit", std::to_string(settings_.maxCallers) },
            { "accepted", std::to_string(accepted) }, { "shed", std::to_string(shed) },
            { "listening-pauses", std::to_string(pauses) },
            { "requests", std::to_string(exchanges_.size()) } });
}

auto Relay::watchOverload(Time now) -> void
{
    overload_.tick(now, load_.late());
    const auto diverts = overload_.divertsCallers(now);
    if (state_.divertsCallers.exchange(diverts) == diverts)
        return;
    log(LogLevel::Warning, diverts ? "overload" : "overload-ended",
        { { "late-ms", std::to_string(inMilliseconds(load_.late()).count()) },
            { "callers", std::to_string(callers_.size()) },
            { "requests", std::to_string(exchanges_.size()) } });
}

auto Relay::checkExchanges(Time now) -> void
{
    while (!checks_.empty() && checks_.begin()->first <= now) {
        const auto exchange = checks_.begin()->second.lock();
        checks_.erase(checks_.begin());
        if (!exchange)
            continue;
        if (const auto next = exchange->check(now))
            scheduleCheck(exchange, std::max(*next, now + tickInterval));
    }
}

auto Relay::sweep(Time now) -> void
{
    nextSweep_ = now + sweepInterval;
    pool_.sweep(now);
    metrics_.setConnectionsOpened(pool_.opened());
    auto callers = std::vector<std::shared_ptr<CallerConnection>> {};
    callers.reserve(callers_.size());
    for (const auto& [key, weak] : callers_) {
        if (auto caller = weak.lock())
            callers.push_back(std::move(caller));
    }
    const auto stopAccepting = stopsAccepting(now);
    if (stopAccepting && acceptor_.is_open()) {
        auto ignored = boost::system::error_code {};
        acceptor_.close(ignored);
    }
    for (const auto& caller : callers) {
        caller->checkTimes(now);
        if (stopAccepting)
            caller->closeIfIdle();
    }
}

} // namespace camphorshunt::router
