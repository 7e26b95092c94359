#include "promptcache.h"

#include <array>

#include <xxhash.h>

namespace camphorshunt {

auto PromptCache::chainsOf(std::span<const PromptPart> parts) -> std::vector<Chain>
{
    auto chains = std::vector<Chain> {};
    chains.reserve(parts.size());
    auto chain = Chain { 0 };
    for (const auto& part : parts) {
        const auto link = std::array { chain, part.id, std::uint64_t { part.tokens } };
        chain = XXH64(link.data(), sizeof(link), 0);
        chains.push_back(chain);
    }
    return chains;
}

template <typename Counts>
auto PromptCache::prefixTokens(
    std::span<const PromptPart> parts, std::span<const Chain> chains, Counts counts) const -> std::uint32_t
{
    auto tokens = std::uint32_t { 0 };
    for (auto index = std::size_t { 0 }; index < chains.size(); ++index) {
        const auto found = entries_.find(chains[index]);
        if (found == entries_.end() || !counts(found->second))
            break;
        tokens += parts[index].tokens;
    }
    return tokens;
}

auto PromptCache::cachedTokens(std::span<const PromptPart> parts, std::span<const Chain> chains) const
    -> std::uint32_t
{
    return prefixTokens(parts, chains, [](const Entry&) { return true; });
}

auto PromptCache::prefilledTokens(std::span<const PromptPart> parts, std::span<const Chain> chains) const
    -> std::uint32_t
{
    return prefixTokens(parts, chains, [](const Entry& entry) { return entry.isPrefilled; });
}

auto PromptCache::markPrefilled(std::span<const Chain> chains) -> void
{
    for (const auto chain : chains) {
        const auto found = entries_.find(chain);
        if (found == entries_.end() || found->second.isPrefilled)
            continue;
        found->second.isPrefilled = true;
        if (index_ != nullptr)
            index_->add(chain, engine_);
    }
}

auto PromptCache::removeFromIndex(Chain chain, const Entry& entry) -> void
{
    if (index_ != nullptr && entry.isPrefilled)
        index_->remove(chain, engine_);
}

auto PromptCache::newlyPinnedTokens(std::span<const PromptPart> parts, std::span<const Chain> chains) const
    -> std::uint64_t
{
    auto tokens = std::uint64_t { 0 };
    for (auto index = std::size_t { 0 }; index < chains.size(); ++index) {
        const auto found = entries_.find(chains[index]);
        if (found == entries_.end() || found->second.pins == 0)
            tokens += parts[index].tokens;
    }
    return tokens;
}

auto PromptCache::pin(std::span<const PromptPart> parts, std::span<const Chain> chains) -> void
{
    for (auto index = std::size_t { 0 }; index < chains.size(); ++index) {
        const auto [found, isNew]
            = entries_.try_emplace(chains[index], Entry { parts[index].tokens, 0, false, idle_.end() });
        auto& entry = found->second;
        if (isNew)
            tokens_ += entry.tokens;
        else if (entry.pins == 0)
            idle_.erase(entry.idle);
        if (entry.pins++ == 0)
            pinned_ += entry.tokens;
    }
}

auto PromptCache::unpin(std::span<const Chain> chains) -> void
{
    // Last part first, so that a chain is evicted from its end.
    for (auto index = chains.size(); index-- > 0;) {
        const auto found = entries_.find(chains[index]);
        if (found == entries_.end() || found->second.pins == 0)
            continue;
        auto& entry = found->second;
        if (--entry.pins > 0)
            continue;
        pinned_ -= entry.tokens;
        entry.idle = idle_.insert(idle_.end(), chains[index]);
    }
}

auto PromptCache::shrink(std::uint64_t maxTokens) -> void
{
    while (tokens_ > maxTokens && !idle_.empty()) {
        const auto found = entries_.find(idle_.front());
        tokens_ -= found->second.tokens;
        removeFromIndex(found->first, found->second);
        entries_.erase(found);
        idle_.pop_front();
    }
}

auto PromptCache::clear() -> void
{
    for (const auto& [chain, entry] : entries_)
        removeFromIndex(chain, entry);
    entries_.clear();
    idle_.clear();
    tokens_ = 0;
    pinned_ = 0;
}

} // namespace camphorshunt
