#include "eventboundary.h"

#include <utility>

namespace camphorshunt {

auto EventBoundary::consume(std::string_view bytes) -> void
{
    for (const auto byte : bytes) {
        ++partialBytes_;
        if (byte == '\r')
            continue;
        if (byte != '\n') {
            insideEvent_ = true;
            lineIsEmpty_ = false;
            continue;
        }
        if (std::exchange(lineIsEmpty_, true) && std::exchange(insideEvent_, false)) {
            ++events_;
            partialBytes_ = 0;
        }
    }
}

auto EventBoundary::discardPartial() -> void
{
    insideEvent_ = false;
    lineIsEmpty_ = true;
    partialBytes_ = 0;
}

} // namespace camphorshunt
