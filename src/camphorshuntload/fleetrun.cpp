#include "fleetrun.h"

#include <algorithm>
#include <utility>

namespace camphorshunt::load {

using namespace router;
using namespace std::chrono_literals;

namespace {

/** Interval of the checks of what the routers believe. */
constexpr auto checkInterval = Duration(10ms);
constexpr auto rateInterval = Duration(1s);
/** Length of the steady state that is measured, before the first event. */
constexpr auto steadyTime = Duration(2s);
constexpr auto firstTokenTime = Duration(50ms);
constexpr auto serviceTime = Duration(250ms);
constexpr auto goalTime = Duration(1s);
constexpr auto deadline = Duration(3s);
/** Time after which a request without a decision is lost. */
constexpr auto decisionTime = deadline + Duration(1s);
constexpr auto maxSeeds = std::size_t { 3 };

auto addressOf(std::size_t host) -> std::string
{
    return "10.1." + std::to_string(host / 250) + "." + std::to_string(host % 250 + 1) + ":7000";
}

auto raise(Duration& longest, Time now, const std::optional<Time>& since) -> void
{
    if (since)
        longest = std::max(longest, now - *since + checkInterval);
}

} // namespace

FleetRun::FleetRun(const FleetPlan& plan, std::size_t routers)
    : plan_(plan)
    , random_(plan.seed)
    , metrics_(registry_)
    , network_(events_, { plan.seed, fromMilliseconds(plan.hopMs), fromMilliseconds(plan.otherDomainHopMs) })
    , store_(events_, fromMilliseconds(plan.storeMs), plan.engines)
    , world_ { events_, network_, store_, log_, metrics_,
        [this](std::size_t host, const PeerPlacementDecision& decision) { this->decided(host, decision); } }
    , half_(routers)
    , lastPause_(routers)
    , acceptedBefore_(routers)
{
    outcome_.routers = routers;
    for (auto host = std::size_t { 0 }; host < routers; ++host) {
        const auto domain = host % plan.failureDomains;
        const auto share = host % plan.largeEvery == 0 ? plan.largeShare : plan.smallShare;
        routers_.push_back(std::make_unique<SimulatedRouter>(
            world_, PeerHello { addressOf(host), 0, share, 1 + domain }, domain));
        half_[host] = random_() % 2;
        if (host < maxSeeds)
            seeds_.push_back(addressOf(host));
    }
}

auto FleetRun::run() -> void
{
    const auto begin = std::chrono::steady_clock::now();
    const auto start = events_.now();
    beginPhase("start");
    startAll();
    scheduleEvents();
    events_.after(checkInterval, [this] { check(); });
    events_.after(rateInterval, [this] { sampleRates(); });
    if (plan_.rate > 0)
        events_.after(rateInterval, [this] { ask(); });
    auto steadyEnd = Duration(plan_.duration);
    for (const auto& event : plan_.events)
        steadyEnd = std::min(steadyEnd, Duration(event.at));
    events_.runUntil(start + std::max(steadyEnd - steadyTime, Duration {}));
    const auto before = takeWork();
    events_.runUntil(start + steadyEnd - Duration(1us));
    recordSteadyState(before);
    events_.runUntil(start + plan_.duration);
    outcome_.realTime = std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now() - begin);
}

auto FleetRun::randomPart(Duration longest) -> Duration
{
    return scaled(longest, std::uniform_real_distribution<double>(0.0, 1.0)(random_));
}

auto FleetRun::startRouter(std::size_t host) -> void { routers_[host]->start(seeds_); }

auto FleetRun::startAll() -> void
{
    for (auto host = std::size_t { 0 }; host < routers_.size(); ++host)
        events_.after(randomPart(plan_.startSpread), [this, host] { startRouter(host); });
}

auto FleetRun::firstActive() const -> const SimulatedRouter*
{
    const auto found = std::ranges::find_if(
        routers_, [this](const auto& router) { return network_.isActive(router->host()); });
    return found == routers_.end() ? nullptr : found->get();
}

auto FleetRun::ask() -> void
{
    auto gap = std::exponential_distribution<double>(plan_.rate / 1000.0);
    events_.after(fromMilliseconds(gap(random_)), [this] { ask(); });
    const auto host = static_cast<std::size_t>(random_() % routers_.size());
    if (!network_.isActive(host) || !routers_[host]->isReady())
        return;
    ++outcome_.requests;
    const auto number = nextRequest_++;
    requests_[number] = { host, routers_[host]->self().incarnation, events_.now() };
    auto placement = PeerPlacementRequest {};
    placement.request.key.number = number;
    placement.request.service = idOf<ServiceId>("model");
    placement.request.organisation = { 1 + number % 16 };
    placement.request.prompt.tokens = 200;
    placement.request.prompt.outputLimit = 100;
    placement.goalLeft = goalTime;
    placement.deadlineLeft = deadline;
    events_.after(decisionTime, [this, number] { closeRequest(number); });
    routers_[host]->handle(RequestPlacement { std::move(placement) });
}

auto FleetRun::decided(std::size_t host, const PeerPlacementDecision& decision) -> void
{
    const auto found = requests_.find(decision.number);
    if (found == requests_.end() || found->second.host != host)
        return;
    auto& request = found->second;
    request.isDecided = true;
    outcome_.longestWait = std::max(outcome_.longestWait, events_.now() - request.askedAt);
    if (!decision.upstream) {
        ++outcome_.refused;
        return;
    }
    if (std::exchange(request.isGranted, true)) {
        ++outcome_.grantedTwice;
        return;
    }
    const auto number = decision.number;
    network_.later(host, firstTokenTime, [this, number] { report(number, PeerReportKind::Started); });
    network_.later(host, serviceTime, [this, number] { report(number, PeerReportKind::Ended); });
}

auto FleetRun::report(std::uint64_t number, PeerReportKind kind) -> void
{
    const auto found = requests_.find(number);
    if (found == requests_.end())
        return;
    routers_[found->second.host]->handle(
        PeerReport { number, idOf<ServiceId>("model"), kind, PlacementEnd::Finished });
}

auto FleetRun::closeRequest(std::uint64_t number) -> void
{
    const auto request = requests_.extract(number).mapped();
    const auto& router = *routers_[request.host];
    const auto ranAllTheTime = network_.isActive(request.host)
        && router.self().incarnation == request.incarnation && lastPause_[request.host] < request.askedAt;
    if (!request.isDecided && ranAllTheTime)
        ++outcome_.lost;
}

auto FleetRun::beginPhase(const std::string& name) -> void
{
    unservedSince_.reset();
    disagreedSince_.reset();
    outcome_.phases.push_back({ name, events_.now() });
}

auto FleetRun::placerOf(std::size_t host) const -> std::optional<std::size_t>
{
    const auto placers = routers_[host]->control().placement().placers();
    if (placers.empty())
        return std::nullopt;
    return world_.hosts.at(*placers.begin());
}

auto FleetRun::isServed(std::size_t host) const -> bool
{
    const auto placer = placerOf(host);
    return placer && routers_[host]->isReady() && network_.isActive(*placer)
        && network_.reaches(host, *placer) && network_.reaches(*placer, host);
}

auto FleetRun::check() -> void
{
    events_.after(checkInterval, [this] { check(); });
    checkPlacers();
    if (publishedAt_ == Time {})
        return;
    const auto isOld = [this](const auto& router) {
        return network_.isActive(router->host()) && router->isReady()
            && router->control().fleet().version() < store_.version();
    };
    if (std::ranges::any_of(routers_, isOld))
        outcome_.phases.back().outdated = events_.now() - publishedAt_ + checkInterval;
}

auto FleetRun::checkPlacers() -> void
{
    const auto now = events_.now();
    auto isUnserved = false;
    auto disagree = false;
    // Routers name the placer of those that they reach; the halves of a fleet have one each.
    auto named = std::map<std::size_t, std::size_t> {};
    for (const auto& router : routers_) {
        const auto host = router->host();
        if (!network_.isActive(host) || mute_.contains(host))
            continue;
        const auto placer = placerOf(host);
        if (!placer || !isServed(host)) {
            isUnserved = true;
            continue;
        }
        const auto part = isInHalves_ ? half_[host] : std::size_t { 0 };
        disagree = disagree || named.try_emplace(part, *placer).first->second != *placer;
    }
    const auto follow = [now](bool holds, std::optional<Time>& since, Duration& longest) {
        if (!holds)
            since.reset();
        else if (!since)
            since = now;
        raise(longest, now, since);
    };
    auto& phase = outcome_.phases.back();
    follow(isUnserved, unservedSince_, phase.unserved);
    follow(disagree || isUnserved, disagreedSince_, phase.disagreed);
}

auto FleetRun::sampleRates() -> void
{
    events_.after(rateInterval, [this] { sampleRates(); });
    auto& phase = outcome_.phases.back();
    for (const auto& router : routers_) {
        auto& before = acceptedBefore_[router->host()];
        phase.mostAccepted = std::max(phase.mostAccepted, router->work().accepted - before);
        before = router->work().accepted;
    }
    if (!store_.callsBySecond().empty())
        phase.mostStoreCalls = std::max(phase.mostStoreCalls, store_.callsBySecond().back());
}

auto FleetRun::takeWork() const -> std::vector<SimulatedRouter::Work>
{
    auto work = std::vector<SimulatedRouter::Work> {};
    for (const auto& router : routers_)
        work.push_back(router->work());
    return work;
}

auto FleetRun::recordSteadyState(const std::vector<SimulatedRouter::Work>& before) -> void
{
    const auto* const view = firstActive();
    if (!view)
        return;
    const auto seconds = double(steadyTime.count()) / 1e6;
    const auto& hubs = view->control().plan().hubs();
    const auto placer = placerOf(view->host());
    for (const auto& router : routers_) {
        const auto work = router->work() - before[router->host()];
        const auto load
            = FleetLoad { double(work.framesSent) / seconds, double(work.framesReceived) / seconds,
                  double(work.bytesSent) / seconds, double(work.bytesReceived) / seconds,
                  router->connections(), double(work.processor.count()) / 1e7 / seconds };
        auto& busiest = hubs.isHub(router->id()) ? outcome_.hub : outcome_.small;
        if (load.bytesSent + load.bytesReceived > busiest.bytesSent + busiest.bytesReceived)
            busiest = load;
        if (placer == router->host())
            outcome_.placer = load;
    }
}

} // namespace camphorshunt::load
