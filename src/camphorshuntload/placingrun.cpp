#include "placingrun.h"

#include <algorithm>

namespace camphorshunt::load {

namespace {

/** Simulated time advances by this much. */
constexpr auto tick = Duration(std::chrono::milliseconds(1));
/** Placers are asked at least this often while requests wait. */
constexpr auto pumpInterval = Duration(std::chrono::milliseconds(5));
/** A connection to an engine that is gone fails this soon. */
constexpr auto connectFailure = Duration(std::chrono::milliseconds(1));
/** Runs go on until what was sent last has ended. */
constexpr auto runOut = std::chrono::seconds(20);
/** Numbers of requests that come again are above those of the source. */
constexpr auto firstRetryNumber = std::uint64_t { 1 } << 40U;

} // namespace

PlacingRun::PlacingRun(const PlacingPlan& plan)
    : plan_(plan)
    , source_(plan)
    , outcome_(plan)
    , nextRetryNumber_(firstRetryNumber)
{
    for (auto index = std::size_t { 0 }; index < plan.engines; ++index) {
        auto entry = UpstreamEntry {};
        entry.name = "engine-" + std::to_string(index);
        entry.endpoint = { "10.0.0.1", static_cast<std::uint16_t>(index + 1) };
        entry.failureDomain = "domain-" + std::to_string(index % plan.failureDomains);
        entry.slots = plan.traits.slots;
        engineIndex_[entry.id()] = index;
        engines_.push_back({ std::move(entry), SimulatedEngine(plan.traits, plan.times) });
    }
    auto placers = std::size_t { 1 };
    if (plan.dispatching == Dispatching::EachRouter)
        placers = plan.routers;
    if (plan.dispatching == Dispatching::Groups)
        placers = plan.groups;
    for (auto index = std::size_t { 0 }; index < placers; ++index) {
        placers_.emplace_back();
        placers_.back() = makePlacer(index);
    }
    planFailures();
}

auto PlacingRun::makePlacer(std::size_t index) const -> std::unique_ptr<Placer>
{
    auto settings = plan_.placer;
    settings.seed = plan_.seed + index;
    auto placer = std::make_unique<Placer>(settings);
    auto entries = std::vector<UpstreamEntry> {};
    for (auto engine = std::size_t { 0 }; engine < engines_.size(); ++engine) {
        if (plan_.dispatching != Dispatching::Groups || engine % plan_.groups == index)
            entries.push_back(engines_[engine].entry);
    }
    placer->setTraits(plan_.traits, 0);
    placer->setUpstreams(now_, entries);
    if (plan_.dispatching == Dispatching::EachRouter)
        placer->setFraction(1.0 / double(plan_.routers));
    return placer;
}

auto PlacingRun::hop(std::size_t domain, std::size_t other) const -> Duration
{
    const auto same = domain % plan_.failureDomains == other % plan_.failureDomains;
    return fromMilliseconds(same ? plan_.hopMs : plan_.otherDomainHopMs);
}

auto PlacingRun::placerOf(const SimulatedRequest& request) const -> std::size_t
{
    if (plan_.dispatching == Dispatching::One)
        return 0;
    if (plan_.dispatching == Dispatching::EachRouter)
        return request.router;
    const auto& parts = request.request.prompt.parts;
    const auto shared = std::ranges::max_element(
        parts.begin(), parts.end() - 1, {}, [](const PromptPart& part) { return part.tokens; });
    const auto id = parts.size() > 1 ? shared->id : request.request.key.number;
    return hashName(std::to_string(id)) % placers_.size();
}

auto PlacingRun::planFailures() -> void
{
    for (const auto& failure : plan_.failures) {
        at(Time(failure.at), [this, &failure] { beginFailure(failure); });
        at(Time(failure.at + failure.length), [this, &failure] { endFailure(failure); });
    }
}

auto PlacingRun::beginFailure(const PlannedFailure& failure) -> void
{
    if (failure.mode == PlannedFailure::Mode::DispatcherKilled) {
        killDispatcher(0);
        return;
    }
    for (auto index = std::size_t { 0 }; index < std::min(failure.engines, engines_.size()); ++index) {
        auto& engine = engines_[index];
        if (failure.mode == PlannedFailure::Mode::Slow)
            engine.simulated.setSlowness(failure.factor);
        if (failure.mode == PlannedFailure::Mode::Hang)
            engine.simulated.setHung(now_, true);
        if (failure.mode != PlannedFailure::Mode::Crash)
            continue;
        engine.crashed = true;
        for (const auto& key : engine.simulated.crash())
            failedAtEngine(key, PlacementEnd::Broken);
    }
}

auto PlacingRun::endFailure(const PlannedFailure& failure) -> void
{
    if (failure.mode == PlannedFailure::Mode::DispatcherKilled)
        return;
    for (auto index = std::size_t { 0 }; index < std::min(failure.engines, engines_.size()); ++index) {
        engines_[index].crashed = false;
        engines_[index].simulated.setSlowness(1.0);
        engines_[index].simulated.setHung(now_, false);
    }
}

auto PlacingRun::killDispatcher(std::size_t index) -> void
{
    placers_[index].reset();
    at(now_ + plan_.takeover, [this, index] {
        placers_[index] = makePlacer(index);
        auto keys = std::vector<PlacementKey> {};
        for (const auto& [key, live] : live_) {
            if (live.placer == index)
                keys.push_back(key);
        }
        std::ranges::sort(keys);
        for (const auto& key : keys) {
            const auto& live = live_.at(key);
            if (live.engine) {
                const auto& entry = engines_[*live.engine].entry;
                placers_[index]->adopt(now_, { live.request.request, entry.id(), live.started });
            } else {
                placers_[index]->submit(now_, live.request.request);
            }
        }
    });
}

auto PlacingRun::run() -> void
{
    const auto end = Time(plan_.duration);
    while (now_ < end + runOut && (now_ < end || !live_.empty())) {
        if (now_ < end) {
            for (auto& request : source_.draw(now_, tick)) {
                outcome_.recordRequest(now_, request);
                send(std::move(request));
            }
        }
        while (!events_.empty() && events_.begin()->first <= now_) {
            const auto what = std::move(events_.begin()->second);
            events_.erase(events_.begin());
            what();
        }
        stepEngines();
        if (now_.time_since_epoch() % pumpInterval == Duration {}) {
            for (auto placer = std::size_t { 0 }; placer < placers_.size(); ++placer)
                pump(placer);
        }
        now_ += tick;
    }
    auto read = std::uint64_t { 0 };
    auto preemptions = std::uint64_t { 0 };
    for (const auto& engine : engines_) {
        read += engine.simulated.tokensRead();
        preemptions += engine.simulated.preemptions();
    }
    outcome_.recordEngineTotals(read, tokensCopied_, preemptions);
}

auto PlacingRun::stepEngines() -> void
{
    for (auto index = std::size_t { 0 }; index < engines_.size(); ++index) {
        auto& engine = engines_[index].simulated;
        while (engine.stepEnd() && *engine.stepEnd() <= now_) {
            for (const auto& event : engine.endStep(*engine.stepEnd()))
                takeEvent(index, event);
        }
    }
}

auto PlacingRun::send(SimulatedRequest request) -> void
{
    const auto key = request.request.key;
    const auto deadline = request.request.deadline;
    auto live = Live {};
    live.placer = placerOf(request);
    live.request = std::move(request);
    const auto toPlacer = hop(live.request.router, live.placer);
    live_.emplace(key, std::move(live));
    at(now_ + toPlacer, [this, key] { submit(key); });
    at(deadline, [this, key] {
        const auto found = live_.find(key);
        if (found == live_.end())
            return;
        if (found->second.engine) {
            engines_[*found->second.engine].simulated.cancel(key);
            tellPlacer(found->second,
                [key](Placer& placer, Time now) { placer.ended(now, key, PlacementEnd::Cancelled); });
        } else if (auto& placer = placers_[found->second.placer]) {
            placer->withdraw(key);
        }
        finish(found, RequestFate::Failed);
    });
}

auto PlacingRun::submit(const PlacementKey& key) -> void
{
    const auto found = live_.find(key);
    if (found == live_.end())
        return;
    // A request that finds no placer is told to the next one when that takes over.
    if (auto& placer = placers_[found->second.placer]) {
        placer->submit(now_, found->second.request.request);
        pump(found->second.placer);
    }
}

auto PlacingRun::pump(std::size_t index) -> void
{
    if (!placers_[index])
        return;
    for (const auto& verdict : placers_[index]->pump(now_)) {
        if (const auto* const placed = std::get_if<Placed>(&verdict))
            takePlaced(*placed);
        else
            takeRefused(std::get<PlacementRefused>(verdict));
    }
}

auto PlacingRun::takePlaced(const Placed& placed) -> void
{
    const auto found = live_.find(placed.key);
    if (found == live_.end())
        return;
    auto& live = found->second;
    live.engine = engineIndex_.at(placed.upstream);
    live.placedAt = now_;
    const auto& model = placers_[live.placer]->engines().at(placed.upstream);
    live.predicted = model.estimate(now_, {}, 0).backlog;
    const auto way = hop(live.placer, live.request.router) + hop(live.request.router, *live.engine);
    at(now_ + way, [this, key = placed.key, copyFrom = placed.copyFrom] { reachEngine(key, copyFrom); });
}

auto PlacingRun::reachEngine(const PlacementKey& key, std::optional<UpstreamId> copyFrom) -> void
{
    const auto found = live_.find(key);
    if (found == live_.end())
        return;
    auto& live = found->second;
    auto& engine = engines_[*live.engine];
    if (engine.crashed) {
        at(now_ + connectFailure, [this, key] { failedAtEngine(key, PlacementEnd::Unreachable); });
        return;
    }
    const auto& prompt = live.request.request.prompt;
    auto copied = std::uint32_t { 0 };
    if (copyFrom) {
        copied = engines_[engineIndex_.at(*copyFrom)].simulated.keptTokens(prompt);
        const auto kept = engine.simulated.keptTokens(prompt);
        tokensCopied_ += copied > kept ? copied - kept : 0;
    }
    if (!engine.simulated.submit(now_, key, prompt, live.request.output, copied)) {
        failedAtEngine(key, PlacementEnd::Full);
        return;
    }
    outcome_.recordExecutionStart(now_, live.request);
}

auto PlacingRun::takeRefused(const PlacementRefused& refused) -> void
{
    const auto found = live_.find(refused.key);
    if (found == live_.end())
        return;
    outcome_.recordWait(now_, found->second.request);
    auto again = found->second.request;
    const auto back = now_ + hop(found->second.placer, again.router) + refused.retryAfter;
    if (again.retriesLeft == 0 || back >= again.request.deadline) {
        finish(found, RequestFate::Refused);
        return;
    }
    live_.erase(found);
    --again.retriesLeft;
    again.isRetry = true;
    again.request.key.number = ++nextRetryNumber_;
    // A router does not know that a caller was refused before.
    again.request.goal = back + plan_.kinds[again.kind].goal;
    again.request.avoid.clear();
    at(back, [this, again = std::move(again)]() mutable {
        outcome_.recordRetry(now_);
        send(std::move(again));
    });
}

auto PlacingRun::takeEvent(std::size_t engine, const EngineEvent& event) -> void
{
    const auto found = live_.find(event.key);
    if (found == live_.end())
        return;
    auto& live = found->second;
    const auto seen = event.at + hop(live.request.router, engine);
    if (event.kind == EngineEvent::Kind::Started) {
        live.started = true;
        live.late = seen > live.request.firstSent + plan_.kinds[live.request.kind].goal;
        if (live.late)
            outcome_.recordWait(now_, live.request);
        outcome_.recordFirstToken(live.placedAt, live.predicted, seen - live.placedAt);
        tellPlacer(live, [key = event.key](Placer& placer, Time now) { placer.started(now, key); });
        return;
    }
    tellPlacer(live,
        [key = event.key](Placer& placer, Time now) { placer.ended(now, key, PlacementEnd::Finished); });
    finish(found, live.late ? RequestFate::Late : RequestFate::InTime);
}

auto PlacingRun::finish(LiveRequests::iterator live, RequestFate fate) -> void
{
    outcome_.recordEnd(live->second.request, fate);
    live_.erase(live);
}

auto PlacingRun::failedAtEngine(const PlacementKey& key, PlacementEnd end) -> void
{
    const auto found = live_.find(key);
    if (found == live_.end())
        return;
    auto& live = found->second;
    tellPlacer(live, [key, end](Placer& placer, Time now) { placer.ended(now, key, end); });
    // A request that was cut off may have run.
    if (end == PlacementEnd::Broken && !live.request.request.repeatable) {
        finish(found, RequestFate::Failed);
        return;
    }
    live.request.request.avoid.push_back(engines_[*live.engine].entry.id());
    live.engine.reset();
    live.started = false;
    const auto way = hop(live.request.router, live.placer) * 2;
    at(now_ + way, [this, key] { submit(key); });
}

auto PlacingRun::tellPlacer(const Live& live, std::function<void(Placer&, Time)> what) -> void
{
    if (!live.engine)
        return;
    const auto way = hop(live.request.router, *live.engine) + hop(live.request.router, live.placer);
    at(now_ + way, [this, index = live.placer, what = std::move(what)] {
        if (auto& placer = placers_[index]) {
            what(*placer, now_);
            pump(index);
        }
    });
}

} // namespace camphorshunt::load
