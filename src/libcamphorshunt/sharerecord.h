#pragma once

#include <cstdint>
#include <utility>

#include <absl/container/btree_map.h>

#include "camphorshunt/ids.h"

namespace camphorshunt {

/** What an organisation asked of a placer and got in a reporting interval. Costs are those of `costOf`. */
struct OrganisationShare {
    double asked = 0;
    double placed = 0;
    /** Of requests whose first token has arrived. */
    double begun = 0;
    std::uint64_t refused = 0;
};

/** Adds up the shares of organisations for the log. Not thread-safe. */
class ShareRecord {
public:
    using Shares = absl::btree_map<OrganisationId, OrganisationShare>;

    auto recordAsked(OrganisationId organisation, double cost) -> void
    {
        shares_[organisation].asked += cost;
    }
    auto recordPlaced(OrganisationId organisation, double cost) -> void
    {
        shares_[organisation].placed += cost;
    }
    auto recordBegun(OrganisationId organisation, double cost) -> void
    {
        shares_[organisation].begun += cost;
    }
    auto recordRefused(OrganisationId organisation) -> void { ++shares_[organisation].refused; }
    /** The shares since the last call. */
    auto take() -> Shares { return std::exchange(shares_, {}); }

private:
    Shares shares_;
};

/** An organisation's line in the log of a placer that can't serve all requests at once. */
struct OrganisationReport {
    OrganisationId organisation;
    OrganisationShare share;
    std::uint64_t waiting = 0;
    /** The service by which organisations are ordered, relative to that of the best served one. */
    double account = 0;
};

} // namespace camphorshunt
