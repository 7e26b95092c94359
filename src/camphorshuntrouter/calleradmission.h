#pragma once

#include <chrono>
#include <optional>
#include <string_view>

#include "camphorshunt/routetable.h"
#include "camphorshunt/time.h"

#include "platform/callerwire.h"

namespace camphorshunt::router {

/** How far the shutdown of a router has come. */
struct ShutdownProgress {
    Duration passed {};
    /** Time until the process ends. */
    Duration left {};
};

/** The result of checking a request against one version of the configuration: its route, or a refusal. */
struct CallerAdmission {
    struct Refusal {
        unsigned status = 0;
        std::string_view reason;
        /** Set only with statuses that promise that the request has not run. */
        std::optional<std::chrono::milliseconds> retryAfter;
    };

    const Route* route = nullptr;
    /** Null on open routes. */
    const KeyHolder* organisation = nullptr;
    std::optional<Refusal> refusal;

    /**
     * `table` is null while no configuration has been read yet. While the router shuts down, a request is
     * refused that arrived when its caller could have known, and that might not end before the process.
     */
    static auto decide(const RouteTable* table, const platform::CallerRequest& request,
        const std::optional<ShutdownProgress>& shutdown) -> CallerAdmission;
};

} // namespace camphorshunt::router
