#pragma once

#include <cstdint>

namespace camphorshunt {

enum class RequestState : std::uint8_t {
    /** A keyed request whose claim is not decided. */
    Claiming,
    /** Waits for a slot. */
    Queued,
    /** Given to an upstream; it may run. */
    Sent,
    Ended,
};

/**
 * The states of one request. Grant, deadline, caller gone, cancel and drain all pass through this
 * machine: "not run" can be said only before the request is sent, and saying it makes sending
 * impossible.
 */
class RequestLife {
public:
    explicit RequestLife(bool keyed);

    auto state() const -> RequestState { return state_; }
    auto isOver() const -> bool { return state_ == RequestState::Ended; }

    /** The claim was won. False if the request is not waiting for its claim. */
    auto winClaim() -> bool;
    /** Gives the request to an upstream. False unless it is queued. */
    auto send() -> bool;
    /** The attempt's bytes never left this VM; the request waits again. False unless sent. */
    auto revertSend() -> bool;
    /** A repeatable request waits for another attempt. False unless sent. */
    auto retry() -> bool;
    /** Ends the request as not run. False once it was sent or has ended. */
    auto endNotRun() -> bool;
    /** Ends a request of which an attempt was sent. False if none was, or if it has ended. */
    auto endSent() -> bool;

private:
    auto transition(RequestState from, RequestState to) -> bool;

    RequestState state_;
    bool mayHaveRun_ = false;
};

} // namespace camphorshunt
