#include "eventboundary.h"

#include <utility>

namespace camphorshunt {

auto EventBoundary::consume(std::string_view bytes) -> void
{
    for (const auto byte : bytes) {
        if (byte == '\r')
            continue;
        if (byte != '\n') {
            insideEvent_ = true;
            lineIsEmpty_ = false;
            continue;
        }
        if (std::exchange(lineIsEmpty_, true) && std::exchange(insideEvent_, false))
            ++events_;
    }
}

auto EventBoundary::discardPartial() -> void
{
    insideEvent_ = false;
    lineIsEmpty_ = true;
}

} // namespace camphorshunt
