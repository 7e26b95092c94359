#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "camphorshunt/document.h"
#include "camphorshunt/ids.h"
#include "camphorshunt/peermessage.h"
#include "camphorshunt/time.h"

namespace camphorshunt {

struct QueuedRequest {
    RequestId request;
    OrganisationId organisation;
    RequestClass requestClass {};
    /** Estimated units of service. */
    double units {};
    Time deadline;
};

/**
 * Requests of one service that wait at this router, by organisation and class, first come first
 * served within each. Bounded per organisation and in all; the total bound drops from the longest
 * organisation's queue.
 */
class EntryQueue {
public:
    enum class Refusal : std::uint8_t {
        OrganisationFull,
        TotalFull,
    };
    struct Pushed {
        std::optional<Refusal> refused;
        /** A request that had to make room; it was not run. */
        std::optional<RequestId> dropped;
    };

    auto setLimits(std::uint32_t perOrganisation, std::uint32_t total) -> void;
    auto push(const QueuedRequest& request) -> Pushed;
    /** Takes the head of an organisation's queue of this class. */
    auto pop(OrganisationId organisation, RequestClass requestClass) -> std::optional<RequestId>;
    auto remove(RequestId request) -> bool;
    auto size() const -> std::size_t;
    auto empty() const -> bool;

    /** Entries that changed since the last call, absolute counts. */
    auto takeChanges() -> std::vector<DemandEntry>;
    /** All entries with waiting requests. */
    auto all() const -> std::vector<DemandEntry>;
};

} // namespace camphorshunt
