#pragma once

#include <optional>

#include "camphorshunt/time.h"

namespace camphorshunt::router {

/** Measures whether a thread keeps up with its work. Used on that thread only. */
class ThreadLoad {
public:
    struct Report {
        /** Longest delay of a tick. */
        Duration late {};
        /** Processor time of the thread. */
        Duration processor {};
    };

    /** `due`: when the tick should have run. Returns the figures of each complete reporting interval. */
    auto tick(Time now, Time due) -> std::optional<Report>;
    /** Delay of the last tick. */
    auto late() const -> Duration { return late_; }
    /** Processor time of the thread since the last tick; tells a busy thread from a paused process. */
    auto processorSinceTick() const -> Duration;

private:
    static auto threadProcessorTime() -> Duration;

    Report current_;
    Duration late_ {};
    Time reportAt_ {};
    Duration processorAtTick_ {};
    Duration processorAtReport_ {};
};

} // namespace camphorshunt::router
