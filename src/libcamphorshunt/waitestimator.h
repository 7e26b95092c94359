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
 * Estimates the wait of a new request from the average interval at which requests of the same organisation
 * and class were dequeued while more of them waited.
 */
class WaitEstimator {
public:
    /** Records that a request was removed from its queue; `remaining` more wait there. */
    auto recordDequeue(
        Time now, OrganisationId organisation, RequestClass requestClass, std::size_t remaining) -> void;
    /** Empty until enough requests have been dequeued to tell. */
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
