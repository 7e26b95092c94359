#pragma once

#include <cstdint>
#include <list>
#include <span>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "camphorshunt/ids.h"
#include "camphorshunt/prompt.h"

#include "promptcacheindex.h"

namespace camphorshunt {

/**
 * A router's estimate of the prompt parts that one engine has cached. Parts of running requests are pinned;
 * other parts are evicted in least-recently-used order when memory runs short.
 */
class PromptCache {
public:
    /** Hash that identifies a part together with all parts before it. */
    using Chain = PromptCacheIndex::Chain;

    PromptCache() = default;
    /** `index` must outlive this cache; call `clear` before the engine is removed. */
    PromptCache(PromptCacheIndex& index, UpstreamId engine)
        : index_(&index)
        , engine_(engine)
    {
    }

    static auto chainsOf(std::span<const PromptPart> parts) -> std::vector<Chain>;

    /** Tokens at the beginning of a prompt that are cached, including those of parts still being prefilled,
     * which will be cached once the requests before it are prefilled.
     */
    auto cachedTokens(std::span<const PromptPart> parts, std::span<const Chain> chains) const
        -> std::uint32_t;
    /** Tokens at the beginning of a prompt whose parts have been prefilled completely. */
    auto prefilledTokens(std::span<const PromptPart> parts, std::span<const Chain> chains) const
        -> std::uint32_t;
    auto markPrefilled(std::span<const Chain> chains) -> void;
    /** Tokens of the parts that are not cached, or cached but not pinned. */
    auto newlyPinnedTokens(std::span<const PromptPart> parts, std::span<const Chain> chains) const
        -> std::uint64_t;
    auto pin(std::span<const PromptPart> parts, std::span<const Chain> chains) -> void;
    auto unpin(std::span<const Chain> chains) -> void;
    /** Evicts unpinned parts until at most `maxTokens` are cached or only pinned parts remain. */
    auto shrink(std::uint64_t maxTokens) -> void;
    auto clear() -> void;

    auto pinnedTokens() const -> std::uint64_t { return pinned_; }
    auto tokens() const -> std::uint64_t { return tokens_; }

private:
    struct Entry {
        std::uint32_t tokens = 0;
        std::uint32_t pins = 0;
        bool isPrefilled = false;
        /** Position in `idle_`; valid only while the part is not pinned. */
        std::list<Chain>::iterator idle;
    };

    template <typename Counts>
    auto prefixTokens(std::span<const PromptPart> parts, std::span<const Chain> chains, Counts counts) const
        -> std::uint32_t;

    auto removeFromIndex(Chain chain, const Entry& entry) -> void;

    /** Null if no index is kept. */
    PromptCacheIndex* index_ = nullptr;
    UpstreamId engine_;
    absl::flat_hash_map<Chain, Entry> entries_;
    /** Unpinned parts, least recently used first. */
    std::list<Chain> idle_;
    std::uint64_t tokens_ = 0;
    std::uint64_t pinned_ = 0;
};

} // namespace camphorshunt
