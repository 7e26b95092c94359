#pragma once

#include <array>
#include <cstdint>
#include <list>
#include <optional>
#include <vector>

#include <absl/container/btree_set.h>
#include <absl/container/flat_hash_map.h>

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
 * Requests of one service that wait at this router, by organisation and class, first come first served
 * within each. Their number is bounded per organisation and in total. At the total bound a push drops the
 * newest request of the organisation with the longest queue, or is refused if its own organisation's queue
 * would be at least as long. Every operation except `waitingEntries` takes at most logarithmic time in the
 * number of organisations.
 */
class EntryQueue {
public:
    enum class Refusal : std::uint8_t {
        OrganisationFull,
        TotalFull,
    };
    struct PushResult {
        std::optional<Refusal> refused;
        /** A waiting request that was removed to make room; it has not been executed. */
        std::optional<RequestId> dropped;
    };

    /** Lower limits drop no waiting request immediately; they apply from the next push. */
    auto setLimits(std::uint32_t perOrganisation, std::uint32_t total) -> void;
    auto push(const QueuedRequest& request) -> PushResult;
    /** Removes the oldest request of an organisation and class. */
    auto pop(OrganisationId organisation, RequestClass requestClass) -> std::optional<RequestId>;
    auto remove(RequestId request) -> bool;
    auto size() const -> std::size_t;
    auto empty() const -> bool;
    auto waiting(OrganisationId organisation, RequestClass requestClass) const -> std::size_t;

    /** Entries that changed since the last call, with absolute counts, in the order of their first change. */
    auto takeChanges() -> std::vector<DemandEntry>;
    /** All entries with waiting requests, sorted by organisation and class. */
    auto waitingEntries() const -> std::vector<DemandEntry>;

private:
    static constexpr auto kClasses = std::size_t { 2 };

    struct Waiting {
        QueuedRequest request;
        std::uint64_t arrival {};
    };
    using ClassQueue = std::list<Waiting>;

    struct OrganisationQueue {
        std::array<ClassQueue, kClasses> classQueues;
        std::array<bool, kClasses> changed {};

        auto size() const -> std::size_t { return classQueues[0].size() + classQueues[1].size(); }
        auto isErasable() const -> bool { return size() == 0 && !changed[0] && !changed[1]; }
    };
    struct Key {
        OrganisationId organisation;
        std::size_t classIndex {};
    };

    auto dropNewest(OrganisationId organisation) -> RequestId;
    auto erase(ClassQueue::iterator position) -> RequestId;
    auto updateLength(OrganisationId organisation, std::size_t before, std::size_t after) -> void;
    auto markChanged(const Key& key, OrganisationQueue& queue) -> void;

    std::uint32_t maxPerOrganisation_ = Limits {}.queuePerOrganisation;
    std::uint32_t maxTotal_ = Limits {}.queueTotal;
    std::uint64_t arrivals_ {};
    absl::flat_hash_map<OrganisationId, OrganisationQueue> queues_;
    absl::flat_hash_map<RequestId, ClassQueue::iterator> positions_;
    /** Organisations with waiting requests, the longest queue last. */
    absl::btree_set<std::pair<std::size_t, OrganisationId>> lengths_;
    std::vector<Key> changes_;
};

} // namespace camphorshunt
