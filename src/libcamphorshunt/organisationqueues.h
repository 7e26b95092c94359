#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

#include <absl/container/btree_map.h>

#include "camphorshunt/placement.h"

#include "promptcache.h"

namespace camphorshunt {

/** A request that waits for an engine. */
struct WaitingRequest {
    PlacementRequest request;
    std::vector<PromptCache::Chain> chains;
    /** Tokens read once and generated twice: what its organisation is charged. */
    double cost = 0;
    Time queuedAt;
    /** Placed after this it will be late. */
    Time latestStart;
};

/** Tokens read once and generated twice. */
auto costOf(const Prompt& prompt) -> double;

/**
 * The waiting requests of each organisation, and how much service each has had of late. The organisation
 * with the least recent service comes first; among its own requests those of a higher priority do, and of
 * these the one whose goal is nearest.
 */
class OrganisationQueues {
public:
    using WaitingList = std::vector<WaitingRequest>;

    /** `window`: time in which the memory of a service fades to 1/e. */
    explicit OrganisationQueues(Duration window)
        : window_(window)
    {
    }

    auto add(Time now, WaitingRequest waiting) -> void;
    auto remove(const PlacementKey& key) -> std::optional<WaitingRequest>;
    auto charge(Time now, OrganisationId organisation, double cost) -> void;

    /** Those that have requests waiting, the least served first. */
    auto leastServedFirst(Time now) -> std::vector<OrganisationId>;
    auto waitingOf(OrganisationId organisation) -> WaitingList&;
    /**
     * Cost of what has to be served, at equal shares, before a new request begins: what its organisation has
     * waiting that is more urgent, and what others are owed until they have had as much.
     */
    auto costAhead(Time now, const WaitingRequest& waiting) const -> double;

    /** Well below the service that the best served organisation has had of late. */
    auto isUnderserved(Time now, OrganisationId organisation) const -> bool;

    auto size() const -> std::size_t { return size_; }
    auto removeIf(const std::function<bool(const WaitingRequest&)>& matches) -> WaitingList;

private:
    struct Account {
        WaitingList waiting;
        double waitingCost = 0;
        /** Service as of `at`. */
        double service = 0;
        Time chargedAt {};
    };

    auto recentServiceOf(Time now, const Account& account) const -> double;

    Duration window_;
    absl::btree_map<OrganisationId, Account> accounts_;
    std::size_t size_ = 0;
};

} // namespace camphorshunt
