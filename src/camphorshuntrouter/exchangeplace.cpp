#include "exchange.h"

#include "relay.h"

// How an exchange replaces an engine that it can't use.

namespace camphorshunt::router {

auto Exchange::placeAgain(std::uint64_t number, UpstreamId leaving) -> void
{
    leaving_.push_back(leaving);
    if (number == moveNumber_) {
        withdrawMove();
        postponeMove("the engine has left", {});
        return;
    }
    if (state_ != State::Placing)
        return;
    relay_.log(LogLevel::Info, "placed-again",
        { { "id", std::string(request_.attempt) }, { "left", std::to_string(leaving.value) },
            { "engines-avoided", std::to_string(tried_.size() + leaving_.size()) } });
    assignUpstream();
}

} // namespace camphorshunt::router
