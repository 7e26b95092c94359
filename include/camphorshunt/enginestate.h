#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string_view>

#include "camphorshunt/time.h"
#include "camphorshunt/upstreamentry.h"

namespace camphorshunt {

/** Whether a process of an engine still runs. */
enum class EngineState : std::uint8_t { Unknown, Alive, Ended };

auto engineStateName(EngineState state) -> std::string_view;

/** The result of a query to an engine's address. */
struct EngineQueryResult {
    enum class Outcome : std::uint8_t {
        /** A process sent a complete response. */
        Answered,
        /** The host refused the connection: no process listens there. */
        Refused,
        /** No complete response arrived in time, or the address could not be reached. */
        Unanswered,
    };

    Outcome outcome = Outcome::Unanswered;
    /** Start of the process, as Unix time, if its report states it. */
    std::optional<std::chrono::milliseconds> startedAt {};
};

/**
 * Whether `process` still runs, from a query that was answered `sinceBreak` after it broke off a request. A
 * report without a start time shows life only so soon after the break that no other process can have taken
 * the address.
 */
auto engineStateOf(const UpstreamProcess& process, const EngineQueryResult& result, Duration sinceBreak)
    -> EngineState;

} // namespace camphorshunt
