#pragma once

#include <cstddef>
#include <deque>
#include <utility>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "camphorshunt/time.h"
#include "camphorshunt/upstreamentry.h"

namespace camphorshunt {

/**
 * Which engines are to be asked whether they still run. Each process is asked once; the number of queries a
 * second is bounded, as each costs the engine a connection. Not thread-safe.
 */
class EngineQueries {
public:
    static constexpr auto maxPerSecond = std::size_t { 64 };
    /** Time for the directory to tell what became of an engine whose query was not answered. */
    static constexpr auto undecidedTime = Duration(std::chrono::seconds(10));

    /** Asks the engine unless it has been asked, or too many others were. */
    auto request(Time now, const UpstreamProcess& engine) -> void;
    /** Queries that are to be sent. */
    auto takeDue() -> std::vector<UpstreamProcess> { return std::exchange(due_, {}); }
    /** The engine's state is known, or it is observed no more. */
    auto forget(const UpstreamProcess& engine) -> void { asked_.erase(engine.upstream); }
    auto clear() -> void;
    /** Engines whose queries were not decided in time. */
    auto takeUndecided(Time now) -> std::vector<UpstreamProcess>;

private:
    absl::flat_hash_map<UpstreamId, UpstreamProcess> asked_;
    /** In order of time. */
    std::deque<std::pair<Time, UpstreamProcess>> askedAt_;
    std::vector<UpstreamProcess> due_;
};

} // namespace camphorshunt
