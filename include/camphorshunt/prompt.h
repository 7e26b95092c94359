#pragma once

#include <cstdint>
#include <span>
#include <vector>

namespace camphorshunt {

/** A piece of a prompt that engines may keep in memory between requests. */
struct PromptPart {
    std::uint64_t id = 0;
    std::uint32_t tokens = 0;
};

/** What a request asks a model engine to read and to generate, in tokens. */
struct Prompt {
    std::uint32_t tokens = 0;
    /** Most tokens of output. */
    std::uint32_t outputLimit = 0;
    /** The caller's estimate of the output; zero if it gave none. */
    std::uint32_t outputHint = 0;
    /** In order; a part is reused only where all parts before it are. */
    std::vector<PromptPart> parts;
};

/** Tokens of output to reckon with: the caller's estimate within the limit, or the limit. */
auto expectedOutput(const Prompt& prompt) -> std::uint32_t;
auto tokensOf(std::span<const PromptPart> parts) -> std::uint64_t;
/** Tokens of the prompt besides its parts. */
auto tokensBesideParts(const Prompt& prompt) -> std::uint64_t;

} // namespace camphorshunt
