#pragma once

#include <cstdint>
#include <optional>

#include "camphorshunt/time.h"

namespace camphorshunt::router {

/** Measures whether the scheduler thread keeps up with its work. Used on that thread only. */
class SchedulerLoad {
public:
    struct Report {
        /** Longest delay of a tick. */
        Duration late {};
        /** Processor time of the thread. */
        Duration processor {};
        /** Time spent placing requests. */
        Duration placing {};
        std::uint64_t passes = 0;
        std::uint64_t frames = 0;
    };

    /** `late`: time from when the tick was due. Returns the figures of each complete reporting interval. */
    auto tick(Time now, Duration late) -> std::optional<Report>;
    auto passDone(Duration time) -> void;
    auto frameHandled() -> void { ++current_.frames; }
    /** Processor time of the thread since the last tick; tells a busy thread from a paused process. */
    auto processorSinceTick() const -> Duration;

private:
    static auto threadProcessorTime() -> Duration;

    Report current_;
    Time reportAt_ {};
    Duration processorAtTick_ {};
    Duration processorAtReport_ {};
};

} // namespace camphorshunt::router
