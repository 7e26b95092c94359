#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "camphorshunt/action.h"
#include "camphorshunt/event.h"
#include "camphorshunt/time.h"

#include "claimsfold.h"
#include "claimsmanager.h"

namespace camphorshunt {

/**
 * State of one claims stream in a router: its fold, the undecided claims, and the single append in
 * flight. A claim whose record may have been appended is decided by reading the stream, or is refused and
 * abandoned.
 */
class ClaimsStream {
public:
    ClaimsStream(std::string name, RouterId router, Incarnation incarnation);

    auto name() const -> const std::string& { return name_; }
    auto fold() const -> const ClaimsFold& { return fold_; }

    auto beginClaim(Time now, RequestId request, const ClaimKey& key, Nonce nonce) -> void;
    /** Returns false if the request has no claim in this stream. */
    auto abandon(RequestId request) -> bool;
    auto settle(RequestId request) -> bool;

    /** Returns true if the tail must be read again from `fold().next()`. */
    auto apply(Time now, std::int64_t nowMs, const LogRead& read) -> bool;
    auto logUnavailable() -> void { atTail_ = false; }
    /** Returns false if the append is not the one in flight in this stream. */
    auto appendEnded(Time now, const AppendEnded& ended) -> bool;
    /**
     * Replaces the fold by a peer's if that covers more and has no gap to the first retained record. Returns
     * true if replaced; the tail must then be read from `fold().next()`.
     */
    auto adopt(ClaimsFold fold) -> bool;
    /** Evicts the claims of keys issued before this wall time. */
    auto evictBefore(std::int64_t issuedMs) -> void;

    /** Refuses claims that are undecided for too long; a timed-out append ends as unknown. */
    auto expireAttempts(Time now) -> void;
    auto wantsAppend(Time now) const -> bool;
    /** Builds a record of the queued claims, abandons and settles, and marks it as in flight. */
    auto takeAppend(Time now, std::int64_t nowMs, AppendId append) -> AppendLog;

    /** True while a new claim can be won: the tail is fresh and appends to the log succeed. */
    auto isUsable(Time now) const -> bool;
    auto isAtTail() const -> bool { return atTail_; }
    auto hasUnwritten() const -> bool { return !abandons_.empty() || !settles_.empty(); }
    auto takeDecisions() -> std::vector<ClaimDecision> { return std::exchange(decisions_, {}); }
    auto undecided() const -> std::size_t { return attempts_.size(); }

private:
    struct Attempt {
        ClaimKey key;
        Nonce nonce;
        Time begun;
        /** Waits to be put into the next record. */
        bool queued = true;
        /** Part of a record that was appended or may have been. */
        bool maybeLanded {};
    };
    struct Held {
        ClaimKey key;
        Nonce nonce;
    };
    struct InFlight {
        AppendId append;
        Time sentAt;
        std::vector<RequestId> requests;
        std::vector<Nonce> abandons;
        std::vector<Nonce> settles;
    };

    auto idOfNonce(Nonce nonce) const -> ClaimId { return { router_, incarnation_, nonce }; }
    auto isInFlight(RequestId request) const -> bool;
    auto decideAttempts() -> void;
    auto decideAttempt(RequestId request, const Attempt& attempt, ClaimState state) -> void;
    auto refuse(RequestId request, ClaimRefusal refusal) -> void;
    /** Abandons the nonce of an ended attempt if a record with it may have been appended or is in flight. */
    auto abandonIfMaybeLanded(RequestId request, const Attempt& attempt) -> void;
    auto refuseMaybeLanded() -> void;
    auto recordFailure(Time now) -> void;

    std::string name_;
    RouterId router_;
    Incarnation incarnation_;
    ClaimsFold fold_;
    std::map<RequestId, Attempt> attempts_;
    std::map<RequestId, Held> held_;
    std::set<Nonce> abandons_;
    std::set<Nonce> settles_;
    std::optional<InFlight> inFlight_;
    std::vector<ClaimDecision> decisions_;
    bool atTail_ {};
    Offset first_;
    Offset end_;
    Time lastRead_;
    std::uint32_t failures_ {};
    Time blockedUntil_;
};

} // namespace camphorshunt
