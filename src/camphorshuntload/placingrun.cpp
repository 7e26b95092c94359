#include "placingrun.h"

#include <algorithm>

namespace camphorshunt::load {

namespace {

/** Step of the simulated time. */
constexpr auto tick = Duration(std::chrono::milliseconds(1));
/** Longest time between two placement rounds of a placer. */
constexpr auto placingInterval = Duration(std::chrono::milliseconds(5));
/** Time until a connection attempt to a crashed engine fails. */
constexpr auto connectFailure = Duration(std::chrono::milliseconds(1));
/** Maximum time that the simulation runs on after the plan's duration until all requests have ended. */
constexpr auto drainTime = std::chrono::seconds(20);
/** Request numbers of retries start above those of `RequestSource`. */
constexpr auto firstRetryNumber = std::uint64_t { 1 } << 40U;

} // namespace

PlacingRun::PlacingRun(const PlacingPlan& plan)
    : plan_(plan)
    , source_(plan)
    , outcome_(plan)
    , availability_(plan.routers)
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
    scheduleFailures();
}

auto PlacingRun::makePlacer(std::size_t index) const -> std::unique_ptr<Placer>
{
    auto settings = plan_.placer;
    settings.seed = plan_.seed + index;
    auto placer = std::make_unique<Placer>(settings);
    placer->setTraits(plan_.traits, 0);
    placer->setUpstreams(now_, entriesOf(index));
    if (plan_.dispatching == Dispatching::EachRouter)
        placer->setFraction(1.0 / double(plan_.routers));
    return placer;
}

auto PlacingRun::entriesOf(std::size_t placer) const -> std::vector<UpstreamEntry>
{
    auto entries = std::vector<UpstreamEntry> {};
    for (auto engine = std::size_t { 0 }; engine < engines_.size(); ++engine) {
        if (plan_.dispatching != Dispatching::Groups || engine % plan_.groups == placer)
            entries.push_back(engines_[engine].entry);
    }
    return entries;
}

auto PlacingRun::hopTime(std::size_t domain, std::size_t other) const -> Duration
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

auto PlacingRun::scheduleFailures() -> void
{
    for (const auto& failure : plan_.failures) {
        schedule(Time(failure.at), [this, &failure] { beginFailure(failure); });
        schedule(Time(failure.at + failure.length), [this, &failure] { endFailure(failure); });
    }
}

auto PlacingRun::beginFailure(const PlannedFailure& failure) -> void
{
    if (failure.mode == PlannedFailure::Mode::DispatcherKilled) {
        killDispatcher(0);
        return;
    }
    if (failure.mode == PlannedFailure::Mode::Release) {
        beginRelease(failure);
        return;
    }
    for (auto index = std::size_t { 0 }; index < std::min(failure.engines, engines_.size()); ++index) {
        auto& engine = engines_[index];
        if (failure.mode == PlannedFailure::Mode::Slow)
            engine.simulated.setSlowness(failure.factor);
        if (failure.mode == PlannedFailure::Mode::Hang)
            engine.simulated.setHung(now_, true);
        if (failure.mode == PlannedFailure::Mode::Rest)
            engine.restsUntil = now_ + failure.length;
        if (failure.mode != PlannedFailure::Mode::Crash)
            continue;
        engine.crashed = true;
        for (const auto& key : engine.simulated.crash())
            handleEngineFailure(key, PlacementEnd::Broken);
    }
}

auto PlacingRun::endFailure(const PlannedFailure& failure) -> void
{
    if (failure.mode == PlannedFailure::Mode::DispatcherKilled
        || failure.mode == PlannedFailure::Mode::Release)
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
    schedule(now_ + plan_.takeover, [this, index] {
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
                placers_[index]->adoptRequest(now_, { live.request.request, live.upstream, live.started });
            } else {
                placers_[index]->submit(now_, live.request.request);
            }
        }
    });
}

auto PlacingRun::run() -> void
{
    const auto end = Time(plan_.duration);
    while (now_ < end + drainTime && (now_ < end || !live_.empty())) {
        if (now_ < end) {
            for (auto& request : source_.draw(now_, tick)) {
                outcome_.recordRequest(now_, request);
                send(std::move(request));
            }
        }
        while (!events_.empty() && events_.begin()->first <= now_) {
            const auto action = std::move(events_.begin()->second);
            events_.erase(events_.begin());
            action();
        }
        stepEngines();
        if (now_.time_since_epoch() % placingInterval == Duration {}) {
            for (auto placer = std::size_t { 0 }; placer < placers_.size(); ++placer)
                placeWaiting(placer);
        }
        now_ += tick;
    }
    auto read = std::uint64_t { 0 };
    auto preemptions = std::uint64_t { 0 };
    for (const auto& engine : engines_) {
        read += engine.simulated.prefilledTokens();
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
                handleEngineEvent(index, event);
        }
    }
}

auto PlacingRun::send(SimulatedRequest request) -> void
{
    const auto key = request.request.key;
    const auto deadline = request.request.deadline;
    auto live = LiveRequest {};
    live.placer = placerOf(request);
    live.request = std::move(request);
    const auto toPlacer = hopTime(live.request.router, live.placer);
    live_.emplace(key, std::move(live));
    schedule(now_ + toPlacer, [this, key] { submit(key); });
    schedule(deadline, [this, key] {
        const auto found = live_.find(key);
        if (found == live_.end())
            return;
        if (found->second.engine) {
            engines_[*found->second.engine].simulated.cancel(key);
            notifyPlacer(found->second,
                [key](Placer& placer, Time now) { placer.onEnded(now, key, PlacementEnd::Cancelled); });
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
    // Without a placer, the request is submitted to the successor when that takes over.
    if (auto& placer = placers_[found->second.placer]) {
        placer->submit(now_, found->second.request.request);
        placeWaiting(found->second.placer);
    }
}

auto PlacingRun::placeWaiting(std::size_t index) -> void
{
    if (!placers_[index])
        return;
    for (const auto& verdict : placers_[index]->placeWaiting(now_)) {
        if (const auto* const placed = std::get_if<PlacementAccepted>(&verdict))
            handlePlaced(*placed);
        else
            handleRefused(std::get<PlacementRefused>(verdict));
    }
}

auto PlacingRun::handlePlaced(const PlacementAccepted& placed) -> void
{
    const auto found = live_.find(placed.key);
    if (found == live_.end())
        return;
    auto& live = found->second;
    live.engine = engineIndex_.at(placed.upstream);
    live.upstream = placed.upstream;
    live.placedAt = now_;
    const auto& model = placers_[live.placer]->engines().at(placed.upstream);
    live.predicted = model.estimate(now_, {}, 0).backlog;
    const auto delay = hopTime(live.placer, live.request.router) + hopTime(live.request.router, *live.engine);
    schedule(now_ + delay,
        [this, key = placed.key, copyFrom = placed.copyFrom] { submitToEngine(key, copyFrom); });
}

auto PlacingRun::submitToEngine(const PlacementKey& key, std::optional<UpstreamId> copyFrom) -> void
{
    const auto found = live_.find(key);
    if (found == live_.end())
        return;
    auto& live = found->second;
    auto& engine = engines_[*live.engine];
    if (!maySend(live)) {
        handleEngineFailure(key, PlacementEnd::Cancelled);
        return;
    }
    if (engine.entry.id() != live.upstream) {
        outcome_.recordSentInVain();
        handleEngineFailure(key, PlacementEnd::Misdirected);
        return;
    }
    if (engine.crashed) {
        schedule(now_ + connectFailure, [this, key] { handleEngineFailure(key, PlacementEnd::Unreachable); });
        return;
    }
    const auto& prompt = live.request.request.prompt;
    auto copied = std::uint32_t { 0 };
    if (copyFrom) {
        copied = engines_[engineIndex_.at(*copyFrom)].simulated.cachedTokens(prompt);
        const auto kept = engine.simulated.cachedTokens(prompt);
        tokensCopied_ += copied > kept ? copied - kept : 0;
    }
    const auto rests = now_ < engine.restsUntil;
    if (rests || !engine.simulated.submit(now_, key, prompt, live.request.output, copied)) {
        outcome_.recordSentInVain();
        heedAnswer(live.request.router, *live.engine);
        // A refusal by an engine that leaves or rests is no fault of it.
        handleEngineFailure(key, maySend(live) ? PlacementEnd::Full : PlacementEnd::Cancelled);
        return;
    }
    outcome_.recordExecutionStart(now_, live.request);
}

auto PlacingRun::handleRefused(const PlacementRefused& refused) -> void
{
    const auto found = live_.find(refused.key);
    if (found == live_.end())
        return;
    outcome_.recordWait(now_, found->second.request);
    auto retry = found->second.request;
    const auto retryAt = now_ + hopTime(found->second.placer, retry.router) + refused.retryAfter;
    if (retry.retriesLeft == 0 || retryAt >= retry.request.deadline) {
        finish(found, RequestFate::Refused);
        return;
    }
    live_.erase(found);
    --retry.retriesLeft;
    retry.isRetry = true;
    retry.request.key.number = ++nextRetryNumber_;
    // A router does not know that the caller was refused before, so the goal counts from the retry.
    retry.request.goal = retryAt + plan_.kinds[retry.kind].goal;
    retry.request.avoid.clear();
    schedule(retryAt, [this, retry = std::move(retry)]() mutable {
        outcome_.recordRetry(now_);
        send(std::move(retry));
    });
}

auto PlacingRun::handleEngineEvent(std::size_t engine, const EngineEvent& event) -> void
{
    const auto found = live_.find(event.key);
    if (found == live_.end())
        return;
    auto& live = found->second;
    const auto seen = event.at + hopTime(live.request.router, engine);
    if (event.kind == EngineEvent::Kind::Started) {
        live.started = true;
        heedAnswer(live.request.router, engine);
        live.late = seen > live.request.firstSent + plan_.kinds[live.request.kind].goal;
        if (live.late)
            outcome_.recordWait(now_, live.request);
        outcome_.recordFirstToken(live.placedAt, live.predicted, seen - live.placedAt);
        notifyPlacer(live, [key = event.key](Placer& placer, Time now) { placer.onStarted(now, key); });
        return;
    }
    notifyPlacer(live,
        [key = event.key](Placer& placer, Time now) { placer.onEnded(now, key, PlacementEnd::Finished); });
    finish(found, live.late ? RequestFate::Late : RequestFate::InTime);
}

auto PlacingRun::finish(LiveRequests::iterator live, RequestFate fate) -> void
{
    outcome_.recordEnd(live->second.request, fate);
    live_.erase(live);
}

auto PlacingRun::handleEngineFailure(const PlacementKey& key, PlacementEnd end) -> void
{
    const auto found = live_.find(key);
    if (found == live_.end())
        return;
    auto& live = found->second;
    notifyPlacer(live, [key, end](Placer& placer, Time now) { placer.onEnded(now, key, end); });
    // A request whose connection broke may have been executed.
    if (end == PlacementEnd::Broken && !live.request.request.repeatable) {
        finish(found, RequestFate::Failed);
        return;
    }
    live.request.request.avoid.push_back(live.upstream);
    live.engine.reset();
    live.started = false;
    const auto delay = hopTime(live.request.router, live.placer) * 2;
    schedule(now_ + delay, [this, key] { submit(key); });
}

auto PlacingRun::notifyPlacer(const LiveRequest& live, std::function<void(Placer&, Time)> action) -> void
{
    if (!live.engine)
        return;
    const auto delay = hopTime(live.request.router, *live.engine) + hopTime(live.request.router, live.placer);
    schedule(now_ + delay, [this, index = live.placer, action = std::move(action)] {
        if (auto& placer = placers_[index]) {
            action(*placer, now_);
            placeWaiting(index);
        }
    });
}

} // namespace camphorshunt::load
