#include "requestlife.h"

namespace camphorshunt {

RequestLife::RequestLife(bool keyed)
    : state_(keyed ? RequestState::Claiming : RequestState::Queued)
{
}

auto RequestLife::move(RequestState from, RequestState to) -> bool
{
    if (state_ != from)
        return false;
    state_ = to;
    return true;
}

auto RequestLife::claim() -> bool { return move(RequestState::Claiming, RequestState::Queued); }

auto RequestLife::send() -> bool { return move(RequestState::Queued, RequestState::Sent); }

auto RequestLife::unsend() -> bool { return move(RequestState::Sent, RequestState::Queued); }

auto RequestLife::retry() -> bool
{
    if (!move(RequestState::Sent, RequestState::Queued))
        return false;
    maybeRun_ = true;
    return true;
}

auto RequestLife::endNotRun() -> bool
{
    if (maybeRun_ || state_ == RequestState::Sent || state_ == RequestState::Ended)
        return false;
    state_ = RequestState::Ended;
    return true;
}

auto RequestLife::endSent() -> bool
{
    if (state_ == RequestState::Queued && maybeRun_) {
        state_ = RequestState::Ended;
        return true;
    }
    return move(RequestState::Sent, RequestState::Ended);
}

} // namespace camphorshunt
