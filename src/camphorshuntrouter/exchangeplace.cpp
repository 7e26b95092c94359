#include "exchange.h"

#include "relay.h"

// How an exchange replaces an engine that it can't use.

namespace camphorshunt::router {

auto Exchange::placeAgain(std::uint64_t number, const UpstreamProcess& left) -> void
{
    if (move_ && number == move_->number) {
        withheld_.push_back(left);
        withdrawMove();
        postponeMove("the engine has left", {});
        return;
    }
    if (state_ != State::Placing)
        return;
    relay_.log(LogLevel::Info, "placed-again",
        { { "id", std::string(request_.attempt) }, { "left", std::to_string(left.upstream.value) },
            { "engines-avoided", std::to_string(tried_.size() + withheld_.size() + 1) } });
    avoidWithheld(left);
}

} // namespace camphorshunt::router
