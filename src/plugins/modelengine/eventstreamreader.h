#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "camphorshunt/upstreamkind.h"

namespace camphorshunt {

/**
 * Reads a model engine's `text/event-stream` (WHATWG HTML, server-sent events). Passes on complete
 * events only, requires event ids without a gap from `resumeAfter` + 1, and treats the answer as
 * complete at the event `done`. Each event with an id counts as one output token; the token counts
 * in `done` replace this count.
 */
class EventStreamReader final : public AnswerReader {
public:
    explicit EventStreamReader(std::uint32_t resumeAfter);

    auto consume(std::string_view bytes) -> std::string override;
    auto isComplete() const -> bool override { return complete_; }
    auto isMalformed() const -> bool override { return malformed_; }
    auto eventsPassed() const -> std::uint32_t override { return eventsPassed_; }
    auto promptTokens() const -> std::uint32_t override { return promptTokens_; }
    auto outputTokens() const -> std::uint32_t override { return outputTokens_; }

private:
    auto processEvent(std::string_view event) -> bool;
    auto processDoneEvent(std::string_view data) -> void;

    std::string pending_;
    std::uint32_t eventsPassed_;
    std::uint32_t promptTokens_ {};
    std::uint32_t outputTokens_;
    bool complete_ = false;
    bool malformed_ = false;
};

} // namespace camphorshunt
