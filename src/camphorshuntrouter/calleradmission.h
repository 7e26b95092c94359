#pragma once

#include <chrono>
#include <optional>
#include <string_view>

#include "camphorshunt/routetable.h"

#include "platform/callerwire.h"

namespace camphorshunt::router {

/** What one version of the configuration says of a request: where it may go, or why it may not. */
struct CallerAdmission {
    struct Refusal {
        unsigned status = 0;
        std::string_view reason;
        /** Only with statuses that say `not run`. */
        std::optional<std::chrono::milliseconds> retryAfter;
    };

    const Route* route = nullptr;
    /** Null on open routes. */
    const KeyHolder* organisation = nullptr;
    std::optional<Refusal> refusal;

    /** `table` may be null: no configuration has been read yet. */
    static auto decide(const RouteTable* table, const platform::CallerRequest& request) -> CallerAdmission;
};

} // namespace camphorshunt::router
