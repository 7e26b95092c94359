#pragma once

#include <chrono>
#include <optional>
#include <string_view>

#include "camphorshunt/routetable.h"

#include "platform/callerwire.h"

namespace camphorshunt::router {

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
     * `table` is null while no configuration has been read yet. `acceptsStreams` is false if the router may
     * exit before a new stream would end.
     */
    static auto decide(const RouteTable* table, const platform::CallerRequest& request, bool acceptsStreams)
        -> CallerAdmission;
};

} // namespace camphorshunt::router
