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
/** New connections are accepted for this long into a drain, and for this part of it at most, while callers
 * switch to other routers.
 */
constexpr auto acceptInDrain = Duration(3500ms);
constexpr auto maxAcceptPart = 0.45;
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
    , memory_(settings.callerMemory)
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
        if (!makeRoom()) {
            ++shed_;
            continue;
        }
        ++admitted;
        const auto caller = std::make_shared<CallerConnection>(std::move(socket), *this);
        callers_.emplace(caller->number(), caller);
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
    return balancers_.try_emplace(service, random_(), availability_).first->second;
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

auto Relay::stopsAccepting(Time now) const -> bool
{
    return draining_
        && now - drainBegan_ > std::min(acceptInDrain, scaled(drainEnds_ - drainBegan_, maxAcceptPart));
}

auto Relay::shutdown() const -> std::optional<ShutdownProgress>
{
    if (!draining_)
        return std::nullopt;
    const auto now = steadyNow();
    return ShutdownProgress { now - drainBegan_, drainEnds_ - now };
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
    metrics_.setCallerMemory(memory_.held(), memory_.capacity());
    logTotals();
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

auto Relay::logTotals() -> void
{
    // The log's seconds begin at other times than the reports.
    const auto mayLeaveOut = 2 * totals_.requests() > RouterLog::linesPerSecond;
    for (const auto& [organisation, counts] : totals_.take()) {
        if (!mayLeaveOut)
            continue;
        auto fields = std::vector<LogField> { { "organisation", organisation } };
        for (const auto outcome : requestOutcomes) {
            if (const auto count = counts.at(static_cast<std::size_t>(outcome)); count > 0)
                fields.push_back({ std::string(outcomeName(outcome)), std::to_string(count) });
        }
        log(LogLevel::Info, "request-totals", std::move(fields));
    }
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
    sweepAvailability(now);
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
