#pragma once

#include <cstdint>
#include <list>
#include <span>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "camphorshunt/prompt.h"

namespace camphorshunt {

/**
 * The prompt parts that one engine keeps, as far as a router can tell. Parts of running requests are
 * pinned; of the rest the least recently used go first when memory is short.
 */
class PromptCache {
public:
    /** Names a part together with all parts before it. */
    using Chain = std::uint64_t;

    static auto chainsOf(std::span<const PromptPart> parts) -> std::vector<Chain>;

    /** Tokens at the beginning of a prompt that need not be read by the time its turn comes. */
    auto cachedTokens(std::span<const PromptPart> parts, std::span<const Chain> chains) const -> std::uint32_t;
    /** The same, of parts that have been read to their end. */
    auto prefilledTokens(std::span<const PromptPart> parts, std::span<const Chain> chains) const -> std::uint32_t;
    auto markPrefilled(std::span<const Chain> chains) -> void;
    /** Tokens of the parts that are not kept or not pinned yet. */
    auto newlyPinnedTokens(std::span<const PromptPart> parts, std::span<const Chain> chains) const
        -> std::uint64_t;
    auto pin(std::span<const PromptPart> parts, std::span<const Chain> chains) -> void;
    auto unpin(std::span<const Chain> chains) -> void;
    /** Lets unpinned parts go until all parts fit. */
    auto shrink(std::uint64_t maxTokens) -> void;
    auto clear() -> void;

    auto pinnedTokens() const -> std::uint64_t { return pinned_; }
    auto tokens() const -> std::uint64_t { return tokens_; }

private:
    struct Entry {
        std::uint32_t tokens = 0;
        std::uint32_t pins = 0;
        bool isPrefilled = false;
        /** Where it stands among the unpinned; the end if it is pinned. */
        std::list<Chain>::iterator idle;
    };

    template <typename Counts>
    auto prefixTokens(std::span<const PromptPart> parts, std::span<const Chain> chains, Counts counts) const
        -> std::uint32_t;

    absl::flat_hash_map<Chain, Entry> entries_;
    /** Unpinned parts, the least recently used first. */
    std::list<Chain> idle_;
    std::uint64_t tokens_ = 0;
    std::uint64_t pinned_ = 0;
};

} // namespace camphorshunt
