#include "requestlife.h"

namespace camphorshunt {

RequestLife::RequestLife(bool keyed)
    : state_(keyed ? RequestState::Claiming : RequestState::Queued)
{
}

auto RequestLife::transition(RequestState from, RequestState to) -> bool
{
    if (state_ != from)
        return false;
    state_ = to;
    return true;
}

auto RequestLife::winClaim() -> bool { return transition(RequestState::Claiming, RequestState::Queued); }

auto RequestLife::send() -> bool { return transition(RequestState::Queued, RequestState::Sent); }

auto RequestLife::revertSend() -> bool { return transition(RequestState::Sent, RequestState::Queued); }

auto RequestLife::retry() -> bool
{
    if (!transition(RequestState::Sent, RequestState::Queued))
        return false;
    mayHaveRun_ = true;
    return true;
}

auto RequestLife::endNotRun() -> bool
{
    if (mayHaveRun_ || state_ == RequestState::Sent || state_ == RequestState::Ended)
        return false;
    state_ = RequestState::Ended;
    return true;
}

auto RequestLife::endSent() -> bool
{
    if (state_ == RequestState::Queued && mayHaveRun_) {
        state_ = RequestState::Ended;
        return true;
    }
    return transition(RequestState::Sent, RequestState::Ended);
}

} // namespace camphorshunt
