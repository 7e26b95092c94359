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
    /** Number of claims streams; a key's stream is chosen by its hash. */
    std::uint32_t streams = 1;
};

/** Why a claim cannot be made now. */
enum class ClaimRefusal : std::uint8_t {
    /** The log cannot be written or its tail is not known: nothing was run, ask again later. */
    Unavailable,
    /** The key is older than what the fold covers, or than the window: it may have run before. */
    KeyTooOld,
    /** The key's issue time lies in the future. */
    KeyFromFuture,
    /** The key is claimed already. */
    Running,
    Done,
};

/** The end of a claim that `ClaimsManager::beginClaim` accepted. */
struct ClaimDecision {
    RequestId request;
    bool won {};
    /** Why not; meaningful when not won. */
    ClaimRefusal refusal {};
};

/**
 * Makes claims on the platform's log and folds the claims streams. A claim is won or lost at its
 * own offset, for good; the holder may send its request once. Survives lost append answers by
 * reading the stream.
 */
class ClaimsManager {
public:
    static auto create(const ClaimsManagerSettings& settings) -> std::unique_ptr<ClaimsManager>;
    virtual ~ClaimsManager() = default;

    /** Parses an `Idempotency-Key`; empty when it is no UUID version 7. */
    static auto parseKey(std::string_view text, ServiceId service, OrganisationId organisation)
        -> std::optional<ClaimKey>;

    /** Starts a claim, or says at once why not. `window` is the document's key window. */
    virtual auto beginClaim(Time now, RequestId request, const ClaimKey& key, Duration window)
        -> std::optional<ClaimRefusal> = 0;
    /** Gives up a claim before anything was sent, so that the caller's next try can win. */
    virtual auto abandon(Time now, RequestId request) -> void = 0;
    /** Reports that the run under a won claim has ended. */
    virtual auto settle(Time now, RequestId request) -> void = 0;

    virtual auto handle(Time now, const LogRead& read, Actions& actions) -> void = 0;
    virtual auto handle(Time now, const LogUnavailable& unavailable, Actions& actions) -> void = 0;
    virtual auto handle(Time now, const AppendEnded& ended, Actions& actions) -> void = 0;
    virtual auto handle(Time now, RouterId from, const ClaimsRequest& request, Actions& actions) -> void = 0;
    virtual auto handle(Time now, const ClaimsTransfer& transfer, Actions& actions) -> void = 0;
    /** A peer came up: ask it for its memory while this router has none. */
    virtual auto peerConnected(Time now, RouterId router, Actions& actions) -> void = 0;
    /** Sends coalesced appends, starts tails, forgets keys past their window. */
    virtual auto tick(Time now, std::size_t liveRouters, Actions& actions) -> void = 0;

    /** True once keyed work can be served: streams read to their tails, log writable. */
    virtual auto ready() const -> bool = 0;
    virtual auto takeDecisions() -> std::vector<ClaimDecision> = 0;
    /** True while abandons or settles still wait to reach the log. */
    virtual auto hasUnwritten() const -> bool = 0;
    virtual auto status(Time now) const -> std::string = 0;
};

} // namespace camphorshunt
