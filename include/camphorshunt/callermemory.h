#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "camphorshunt/ids.h"
#include "camphorshunt/time.h"

namespace camphorshunt {

/**
 * The memory that a process spends on callers, with an account for each connection. Once the budget is used
 * up, connections are shed: of the organisation that holds most, the one that holds most for the longest time
 * without progress. Connections of which no organisation is known yet count as one. Not thread-safe.
 */
class CallerMemory {
public:
    using Connection = std::uint64_t;

    /** `capacity`: the budget, in bytes. */
    explicit CallerMemory(std::size_t capacity)
        : capacity_(capacity)
    {
    }

    /**
     * Sets what a connection holds, in bytes. Returns the connections to be closed, whose accounts are closed
     * already; this one may be among them. `progressAt`: when its caller last sent or took bytes, if not now.
     */
    auto setHeld(Time now, Connection connection, OrganisationId organisation, std::size_t bytes,
        std::optional<Time> progressAt = std::nullopt) -> std::vector<Connection>;
    /** Closes the account; does nothing if there is none. */
    auto release(Connection connection) -> void;

    auto held() const -> std::size_t { return held_; }
    auto capacity() const -> std::size_t { return capacity_; }
    auto connections() const -> std::size_t { return accounts_.size(); }
    /** Bytes of an answer that may wait for one slow caller: `least` if over half of the budget is held. */
    auto outputAllowance(std::size_t least) const -> std::size_t;

private:
    struct Account {
        OrganisationId organisation;
        std::size_t bytes = 0;
        Time progressAt;
    };

    auto shed(Time now) -> std::vector<Connection>;
    auto largestOrganisation() const -> OrganisationId;

    std::size_t capacity_;
    std::size_t held_ = 0;
    absl::flat_hash_map<Connection, Account> accounts_;
    absl::flat_hash_map<OrganisationId, std::size_t> byOrganisation_;
};

/**
 * Whether the framing of a request's body, in bytes of chunk sizes, extensions and trailers, is out of all
 * proportion to the body: more than the allowance and 16 bytes for each byte of the body, of which a chunk of
 * one byte needs five. What the caller counts as framing may include the request's head.
 */
auto isFramingExcessive(std::size_t framingBytes, std::size_t bodyBytes, std::size_t allowance) -> bool;

/** The budget for callers on a VM with this much memory, in bytes. */
auto callerBudgetOf(std::size_t memoryBytes) -> std::size_t;

} // namespace camphorshunt
