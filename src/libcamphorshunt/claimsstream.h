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
 * One claims stream as a router uses it: its fold, the claims that wait for their decision, and the one
 * append in flight. A claim whose record may have landed is decided by reading, or given up and abandoned.
 */
class ClaimsStream {
public:
    ClaimsStream(std::string name, RouterId router, Incarnation incarnation);

    auto name() const -> const std::string& { return name_; }
    auto fold() const -> const ClaimsFold& { return fold_; }

    auto beginClaim(Time now, RequestId request, const ClaimKey& key, Nonce nonce) -> void;
    /** Returns false when the request has no claim here. */
    auto abandon(RequestId request) -> bool;
    auto settle(RequestId request) -> bool;

    /** Returns true when the tail has to be read again from `fold().next()`. */
    auto apply(Time now, std::int64_t nowMs, const LogRead& read) -> bool;
    auto logUnavailable() -> void { atTail_ = false; }
    /** Returns false when the append is not this stream's. */
    auto appendEnded(Time now, const AppendEnded& ended) -> bool;
    /** Replaces this memory by a peer's if that covers more; the tail is then read from its end. */
    auto adopt(ClaimsFold fold) -> bool;
    /** Drops what concerns keys issued before. */
    auto evictBefore(std::int64_t issuedMs) -> void;

    /** Gives up what has waited too long. */
    auto expireAttempts(Time now) -> void;
    auto wantsAppend(Time now) const -> bool;
    /** Takes what waits into one record and remembers it as in flight. */
    auto takeAppend(Time now, std::int64_t nowMs, AppendId append) -> AppendLog;

    /** True while a claim begun now has a chance: the tail is fresh and the log takes records. */
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
        /** To be put into the next record. */
        bool queued = true;
        /** Put into a record that was taken or whose fate is not known. */
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
    /** Ends an attempt that will not be sent; its nonce is voided if it may have landed. */
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
