#include "camphorshunt/prompt.h"

#include <algorithm>

namespace camphorshunt {

auto expectedOutput(const Prompt& prompt) -> std::uint32_t
{
    if (prompt.outputHint == 0)
        return prompt.outputLimit;
    return prompt.outputLimit == 0 ? prompt.outputHint : std::min(prompt.outputHint, prompt.outputLimit);
}

auto sharedParts(std::span<const PromptPart> parts) -> std::span<const PromptPart>
{
    return parts.first(parts.empty() ? 0 : parts.size() - 1);
}

auto tokensOf(std::span<const PromptPart> parts) -> std::uint64_t
{
    auto tokens = std::uint64_t { 0 };
    for (const auto& part : parts)
        tokens += part.tokens;
    return tokens;
}

auto tokensBesideParts(const Prompt& prompt) -> std::uint64_t
{
    const auto shared = tokensOf(prompt.parts);
    return prompt.tokens > shared ? prompt.tokens - shared : 0;
}

} // namespace camphorshunt
