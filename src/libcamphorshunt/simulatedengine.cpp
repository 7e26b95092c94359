#include "simulatedengine.h"

#include <algorithm>

namespace camphorshunt {

auto SimulatedEngine::submit(Time now, const PlacementKey& key, const Prompt& prompt, std::uint32_t output,
    std::uint32_t copied) -> bool
{
    if (waiting_.size() >= times_.maxQueued || prompt.tokens + output > traits_.memoryTokens)
        return false;
    auto job = Job {};
    job.key = key;
    job.prompt = prompt;
    job.chains = PromptCache::chainsOf(prompt.parts);
    job.output = std::max(output, 1U);
    job.copied = copied;
    job.readyAt = now;
    const auto cached = cachedTokens(prompt, job.chains);
    if (copied > cached && traits_.copiedTokensPerMs > 0)
        job.readyAt
            += fromMilliseconds(times_.copySetupMs + double(copied - cached) / traits_.copiedTokensPerMs);
    waiting_.push_back(std::move(job));
    if (!stepEnd_)
        beginStep(now);
    return true;
}

auto SimulatedEngine::cachedTokens(const Prompt& prompt) const -> std::uint32_t
{
    return cachedTokens(prompt, PromptCache::chainsOf(prompt.parts));
}

auto SimulatedEngine::cachedTokens(const Prompt& prompt, std::span<const PromptCache::Chain> chains) const
    -> std::uint32_t
{
    return std::min(cache_.prefilledTokens(prompt.parts, chains), prompt.tokens);
}

auto SimulatedEngine::memoryInUse() const -> std::uint64_t
{
    auto tokens = cache_.pinnedTokens();
    for (const auto& job : running_)
        tokens += job.privateTokens + job.generated;
    return tokens;
}

auto SimulatedEngine::admit(Time now) -> void
{
    while (!waiting_.empty() && running_.size() < traits_.slots) {
        auto& next = waiting_.front();
        if (next.readyAt > now)
            return;
        next.privateTokens = tokensBesideParts(next.prompt);
        const auto needed = cache_.newlyPinnedTokens(next.prompt.parts, next.chains) + next.privateTokens;
        if (!running_.empty() && memoryInUse() + needed > traits_.memoryTokens)
            return;
        const auto cached
            = std::max(cachedTokens(next.prompt, next.chains), std::min(next.copied, next.prompt.tokens));
        // The tokens that a preempted request had generated must be prefilled again, too.
        next.pendingPrefill = next.prompt.tokens - cached + next.generated;
        cache_.pin(next.prompt.parts, next.chains);
        running_.push_back(std::move(next));
        waiting_.pop_front();
    }
}

auto SimulatedEngine::beginStep(Time now) -> void
{
    admit(now);
    stepEnd_.reset();
    if (running_.empty()) {
        if (!waiting_.empty())
            stepEnd_ = std::max(now, waiting_.front().readyAt);
        return;
    }
    auto chunk = times_.chunkTokens;
    auto context = 0.0;
    for (auto& job : running_) {
        job.chunk = std::min(chunk, job.pendingPrefill);
        chunk -= job.chunk;
        context += double(job.prompt.tokens + job.generated - job.pendingPrefill);
    }
    const auto read = double(times_.chunkTokens - chunk);
    const auto length = times_.stepMs + times_.stepMsPerRequest * double(running_.size())
        + times_.stepMsPerThousandTokens * context / 1000.0 + read / times_.prefillTokensPerMs;
    stepEnd_ = now + fromMilliseconds(length * slowness_);
}

auto SimulatedEngine::endStep(Time now) -> std::vector<EngineEvent>
{
    auto events = std::vector<EngineEvent> {};
    auto remaining = std::vector<Job> {};
    remaining.reserve(running_.size());
    for (auto& job : running_) {
        job.pendingPrefill -= job.chunk;
        prefilledTokens_ += job.chunk;
        job.chunk = 0;
        if (job.pendingPrefill > 0) {
            remaining.push_back(std::move(job));
            continue;
        }
        const auto isFirst = job.generated++ == 0;
        const auto at = isFirst ? now + fromMilliseconds(times_.firstTokenMs * slowness_) : now;
        if (isFirst) {
            cache_.markPrefilled(job.chains);
            events.push_back({ job.key, EngineEvent::Kind::Started, at });
        }
        if (job.generated < job.output) {
            remaining.push_back(std::move(job));
            continue;
        }
        events.push_back({ job.key, EngineEvent::Kind::Finished, at });
        cache_.unpin(job.chains);
    }
    running_ = std::move(remaining);
    while (memoryInUse() > traits_.memoryTokens && running_.size() > 1)
        preemptNewest();
    const auto busy = memoryInUse() - cache_.pinnedTokens();
    cache_.shrink(traits_.memoryTokens > busy ? traits_.memoryTokens - busy : 0);
    beginStep(now);
    return events;
}

auto SimulatedEngine::preemptNewest() -> void
{
    auto job = std::move(running_.back());
    running_.pop_back();
    cache_.unpin(job.chains);
    ++preemptions_;
    job.readyAt = {};
    job.copied = 0;
    waiting_.push_front(std::move(job));
}

auto SimulatedEngine::cancel(const PlacementKey& key) -> void
{
    std::erase_if(waiting_, [&key](const Job& job) { return job.key == key; });
    const auto found = std::ranges::find(running_, key, &Job::key);
    if (found == running_.end())
        return;
    cache_.unpin(found->chains);
    running_.erase(found);
}

auto SimulatedEngine::crash() -> std::vector<PlacementKey>
{
    auto lost = std::vector<PlacementKey> {};
    for (const auto& job : running_)
        lost.push_back(job.key);
    for (const auto& job : waiting_)
        lost.push_back(job.key);
    running_.clear();
    waiting_.clear();
    cache_.clear();
    stepEnd_.reset();
    return lost;
}

auto SimulatedEngine::setHung(Time now, bool hung) -> void
{
    if (hung_ == hung)
        return;
    hung_ = hung;
    if (!hung_ && stepEnd_)
        stepEnd_ = std::max(now, *stepEnd_);
}

} // namespace camphorshunt
