#pragma once

#include <cstdint>
#include <optional>
#include <utility>

#include <absl/container/flat_hash_map.h>

#include "camphorshunt/document.h"
#include "camphorshunt/ids.h"
#include "camphorshunt/time.h"

namespace camphorshunt {

/**
 * Estimates how long a new request would wait from the pace at which its organisation's queue of the
 * same class has been served while it was backlogged.
 */
class WaitEstimator {
public:
    /** A request was taken from the queue; `remaining` more wait behind it. */
    auto recordDequeue(
        Time now, OrganisationId organisation, RequestClass requestClass, std::size_t remaining) -> void;
    /** Empty until the pace is known. */
    auto estimate(OrganisationId organisation, RequestClass requestClass, std::size_t ahead) const
        -> std::optional<Duration>;

private:
    struct Pace {
        Time lastDequeue;
        Duration interval {};
        std::uint32_t samples {};
        bool backlogged {};
    };

    absl::flat_hash_map<std::pair<OrganisationId, RequestClass>, Pace> paces_;
};

} // namespace camphorshunt
