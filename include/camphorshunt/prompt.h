#pragma once

#include <cstdint>
#include <span>
#include <vector>

namespace camphorshunt {

/** A part of a prompt that engines may cache between requests. */
struct PromptPart {
    std::uint64_t id = 0;
    std::uint32_t tokens = 0;
};

/** Input and output size of a request to a model engine, in tokens. */
struct Prompt {
    std::uint32_t tokens = 0;
    /** Maximum tokens of output; zero if unset. */
    std::uint32_t outputLimit = 0;
    /** The caller's estimate of the output; zero if it gave none. */
    std::uint32_t outputHint = 0;
    /** In order; a cached part is reused only if all parts before it are reused. */
    std::vector<PromptPart> parts;
};

/** Expected tokens of output: the caller's estimate, capped at the limit, or the limit if there is no
 * estimate. */
auto expectedOutput(const Prompt& prompt) -> std::uint32_t;
/** All parts but the last one, which belongs to the request itself or to its session. */
auto sharedParts(std::span<const PromptPart> parts) -> std::span<const PromptPart>;
auto tokensOf(std::span<const PromptPart> parts) -> std::uint64_t;
/** Tokens of the prompt that belong to none of its parts. */
auto tokensBesideParts(const Prompt& prompt) -> std::uint64_t;

} // namespace camphorshunt
