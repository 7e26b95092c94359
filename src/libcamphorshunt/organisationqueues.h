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
    /** Cost charged to the organisation; see `costOf`. */
    double cost = 0;
    Time queuedAt;
    /** Latest time of placement at which the request can still be on time. */
    Time latestStart;
};

/** Cost of a request: its prompt tokens plus twice its expected output tokens. */
auto costOf(const Prompt& prompt) -> double;

/**
 * The waiting requests and the recent service of each organisation. The organisation with the least recent
 * service is first; its own requests are ordered by priority, and those of equal priority by goal, earliest
 * first.
 */
class OrganisationQueues {
public:
    using WaitingList = std::vector<WaitingRequest>;

    /** `window`: time in which recorded service decays to 1/e. */
    explicit OrganisationQueues(Duration window)
        : window_(window)
    {
    }

    auto add(Time now, WaitingRequest waiting) -> void;
    auto remove(const PlacementKey& key) -> std::optional<WaitingRequest>;
    auto charge(Time now, OrganisationId organisation, double cost) -> void;

    /** Organisations with waiting requests, least recent service first. */
    auto leastServedFirst(Time now) -> std::vector<OrganisationId>;
    auto waitingOf(OrganisationId organisation) -> WaitingList&;
    /**
     * Cost of the requests to be served, at equal shares, before a new request: those of its organisation
     * that are at least as urgent, and those of other organisations until these have received as much
     * service.
     */
    auto costAhead(Time now, const WaitingRequest& waiting) const -> double;

    /** True if the organisation's recent service is well below that of the best served one. */
    auto isUnderserved(Time now, OrganisationId organisation) const -> bool;

    auto size() const -> std::size_t { return size_; }
    auto removeIf(const std::function<bool(const WaitingRequest&)>& matches) -> WaitingList;

private:
    struct Account {
        WaitingList waiting;
        double waitingCost = 0;
        /** Service as of `chargedAt`. */
        double service = 0;
        Time chargedAt {};
    };

    auto recentServiceOf(Time now, const Account& account) const -> double;

    Duration window_;
    absl::btree_map<OrganisationId, Account> accounts_;
    std::size_t size_ = 0;
};

} // namespace camphorshunt
