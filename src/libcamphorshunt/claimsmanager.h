#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "camphorshunt/action.h"
#include "camphorshunt/event.h"
#include "camphorshunt/ids.h"
#include "camphorshunt/time.h"

#include "requestclaim.h"

namespace camphorshunt {

struct ClaimsManagerSettings {
    RouterId router;
    Incarnation incarnation;
    Duration wallOffset {};
    std::uint64_t seed {};
    /** Number of claims streams; the hash of a key selects its stream. */
    std::uint32_t streams = 1;
};

/** Reason why a claim is refused. */
enum class ClaimRefusal : std::uint8_t {
    /** The log can't be written or its tail is unknown. Nothing was run; a later retry may succeed. */
    Unavailable,
    /** The key is older than the fold covers, or than the key window, so it may have run before. */
    KeyTooOld,
    /** The key's issue time lies in the future. */
    KeyFromFuture,
    /** The key is already claimed. */
    Running,
    Done,
};

/** Decision on a claim that `ClaimsManager::beginClaim` accepted. */
struct ClaimDecision {
    RequestId request;
    bool won {};
    /** Meaningful only if the claim was not won. */
    ClaimRefusal refusal {};
};

/**
 * Appends claims to the platform's log and folds the claims streams. A claim is won or lost at its own
 * offset, permanently; the holder may send its request once. If the answer to an append is lost, the
 * claim is decided by reading the stream.
 */
class ClaimsManager {
public:
    static auto create(const ClaimsManagerSettings& settings) -> std::unique_ptr<ClaimsManager>;
    virtual ~ClaimsManager() = default;

    /** Parses an `Idempotency-Key`. Empty if it is not a UUID of version 7. */
    static auto parseKey(std::string_view text, ServiceId service, OrganisationId organisation)
        -> std::optional<ClaimKey>;

    /** Starts a claim, or returns why it is refused. `window` is the document's key window. */
    virtual auto beginClaim(Time now, RequestId request, const ClaimKey& key, Duration window)
        -> std::optional<ClaimRefusal> = 0;
    /** Abandons a claim whose request was not sent, so that the caller's next attempt can win. */
    virtual auto abandon(Time now, RequestId request) -> void = 0;
    /** Records that the execution under a won claim has ended. */
    virtual auto settle(Time now, RequestId request) -> void = 0;

    virtual auto handle(Time now, const LogRead& read, Actions& actions) -> void = 0;
    virtual auto handle(Time now, const LogUnavailable& unavailable, Actions& actions) -> void = 0;
    virtual auto handle(Time now, const AppendEnded& ended, Actions& actions) -> void = 0;
    virtual auto handle(Time now, RouterId from, const ClaimsRequest& request, Actions& actions) -> void = 0;
    virtual auto handle(Time now, const ClaimsTransfer& transfer, Actions& actions) -> void = 0;
    /** Requests a snapshot from a peer that has connected, if this router still lacks one. */
    virtual auto peerConnected(Time now, RouterId router, Actions& actions) -> void = 0;
    /** Sends coalesced appends, starts reading the tails, expires claims and evicts old keys. */
    virtual auto tick(Time now, std::size_t liveRouters, Actions& actions) -> void = 0;

    /** True while keyed requests can be served: tails read, log writable, no snapshot awaited. */
    virtual auto ready() const -> bool = 0;
    virtual auto takeDecisions() -> std::vector<ClaimDecision> = 0;
    /** True while abandons or settles are not yet written to the log. */
    virtual auto hasUnwritten() const -> bool = 0;
    virtual auto status(Time now) const -> std::string = 0;
};

} // namespace camphorshunt
