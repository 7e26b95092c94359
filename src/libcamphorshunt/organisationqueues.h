#pragma once

#include <concepts>
#include <cstdint>
#include <optional>
#include <vector>

#include <absl/container/btree_map.h>
#include <absl/container/flat_hash_map.h>

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
    /** Time at which the request is refused if it still waits. */
    Time refuseAt;
};

/** Cost of a request: its prompt tokens plus twice its expected output tokens. */
auto costOf(const Prompt& prompt) -> double;

/**
 * The waiting requests and the recent service of each organisation. The organisation with the least recent
 * service is first; its own requests are ordered by priority, and those of equal priority by goal, earliest
 * first. Service counts mainly against organisations that wait at the same time (start-time fair queueing):
 * one that begins to wait is behind the best served one by a bounded part of what all got of late, or as far
 * as the least served one that waits.
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
    /** Removes a request by its position in `waitingOf(organisation)`. */
    auto take(OrganisationId organisation, std::size_t position) -> WaitingRequest;
    auto charge(Time now, OrganisationId organisation, double cost) -> void;
    /** Takes back a charge of `chargedAt`, but puts the organisation before no other one that waits. */
    auto refund(Time chargedAt, OrganisationId organisation, double cost) -> void;

    struct Backlogged {
        OrganisationId organisation;
        /** Its recent service is well below that of the best served one. */
        bool underserved = false;
    };
    /** Organisations with waiting requests, least recent service first. */
    auto leastServedFirst() const -> std::vector<Backlogged>;
    auto waitingOf(OrganisationId organisation) -> WaitingList&;
    /**
     * Cost of the requests to be served, at equal shares, before a new request: those of its organisation
     * that are at least as urgent, and those of other organisations until these have received as much
     * service.
     */
    auto costAhead(Time now, const WaitingRequest& waiting) const -> double;

    /** True if the organisation's recent service is well below that of the best served one. */
    auto isUnderserved(OrganisationId organisation) const -> bool;

    struct State {
        std::size_t waiting = 0;
        /** Recorded service relative to that of the best served organisation. */
        double relativeService = 0;
    };
    auto stateOf(OrganisationId organisation) const -> State;

    auto size() const -> std::size_t { return organisationOf_.size(); }
    template <std::predicate<const WaitingRequest&> Matches> auto removeIf(Matches matches) -> WaitingList;
    /** The earliest `refuseAt` of the waiting requests; none if none wait. */
    auto firstRefusal() const -> std::optional<Time>;

private:
    struct Account {
        WaitingList waiting;
        double waitingCost = 0;
        /** Recent service, in units of `unit`, so that accounts compare without decaying each. */
        double service = 0;
        /** Recent service that it had in fact, in the same units. */
        double received = 0;
        /** `service` before the last request was placed, in the same units. */
        double serviceBefore = 0;
    };

    using Accounts = absl::btree_map<OrganisationId, Account>;

    /** Value of one token of service at `now` in the units of the accounts; doubles every `window * ln 2`. */
    auto unit(Time now) const -> double;
    /** Restarts the units at `now` and drops accounts without service. */
    auto rebase(Time now) -> void;
    auto bestService() const -> double;
    /** The least service that an organisation that begins to wait is taken to have had. */
    auto entryService() const -> double;
    /** The service by which the organisation is ordered; `found` may be the end. */
    auto serviceOf(Accounts::const_iterator found) const -> double;

    Duration window_;
    Accounts accounts_;
    absl::flat_hash_map<PlacementKey, OrganisationId> organisationOf_;
    /** Recent service of all organisations, in the units of the accounts. */
    double total_ = 0;
    Time epoch_ {};
};

template <std::predicate<const WaitingRequest&> Matches>
auto OrganisationQueues::removeIf(Matches matches) -> WaitingList
{
    auto removed = WaitingList {};
    for (auto& [id, account] : accounts_) {
        auto kept = account.waiting.begin();
        for (auto next = account.waiting.begin(); next != account.waiting.end(); ++next) {
            if (matches(*next)) {
                account.waitingCost -= next->cost;
                organisationOf_.erase(next->request.key);
                removed.push_back(std::move(*next));
                continue;
            }
            if (kept != next)
                *kept = std::move(*next);
            ++kept;
        }
        account.waiting.erase(kept, account.waiting.end());
        if (account.waiting.empty())
            account.waitingCost = 0;
    }
    return removed;
}

} // namespace camphorshunt
