#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace camphorshunt {

/**
 * Follows the bytes of a stream of server-sent events, in pieces of any size, and tells whether they end
 * between two events.
 */
class EventBoundary {
public:
    auto consume(std::string_view bytes) -> void;
    /** Drops the event that has begun; the next byte begins a new one. */
    auto discardPartial() -> void;

    auto isInsideEvent() const -> bool { return insideEvent_; }
    /** Number of complete events so far. */
    auto events() const -> std::uint64_t { return events_; }
    /** Bytes since the last complete event. */
    auto partialBytes() const -> std::size_t { return partialBytes_; }

private:
    std::uint64_t events_ = 0;
    std::size_t partialBytes_ = 0;
    bool insideEvent_ = false;
    bool lineIsEmpty_ = true;
};

} // namespace camphorshunt
