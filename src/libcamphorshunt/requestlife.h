#pragma once

#include <cstdint>

namespace camphorshunt {

enum class RequestState : std::uint8_t {
    /** A keyed request whose claim is undecided. */
    Claiming,
    /** Waiting for a slot. */
    Queued,
    /** Sent to an upstream, where it may run. */
    Sent,
    Ended,
};

/**
 * State machine of one request. Grants, deadlines, disconnected callers, cancellations and drains all
 * use it: a request can end as "not run" only while no attempt of it may have run, and a request that
 * has ended can't be sent.
 */
class RequestLife {
public:
    explicit RequestLife(bool keyed);

    auto state() const -> RequestState { return state_; }
    auto isOver() const -> bool { return state_ == RequestState::Ended; }

    /** Queues the request, as its claim was won. Returns false if it is not waiting for its claim. */
    auto winClaim() -> bool;
    /** Marks the request as sent to an upstream. Returns false unless it is queued. */
    auto send() -> bool;
    /** Queues the request again, as no byte of the attempt left this VM. Returns false unless it is sent. */
    auto revertSend() -> bool;
    /** Queues the request again after an attempt that may have run. Returns false unless it is sent. */
    auto retry() -> bool;
    /** Ends the request as not run. Returns false if an attempt may have run or the request has ended. */
    auto endNotRun() -> bool;
    /** Ends a request of which an attempt was sent. Returns false if none was, or if it has ended. */
    auto endSent() -> bool;

private:
    auto transition(RequestState from, RequestState to) -> bool;

    RequestState state_;
    bool mayHaveRun_ = false;
};

} // namespace camphorshunt
