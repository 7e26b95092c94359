#include "eventboundary.h"

#include <catch2/catch.hpp>

using namespace camphorshunt;

TEST_CASE("A stream of events is between two events only after an empty line, at whatever byte it is read")
{
    const auto lineEnd = GENERATE(as<std::string> {}, "\n", "\r\n");
    const auto event = "id: 1" + lineEnd + "data: x" + lineEnd + lineEnd;
    const auto events = event + event + lineEnd + event;
    auto boundary = EventBoundary {};
    CHECK(!boundary.isInsideEvent());
    for (auto at = std::size_t { 0 }; at < events.size(); ++at) {
        boundary.consume(std::string_view(events).substr(at, 1));
        const auto read = at + 1;
        const auto isBetween = read == event.size()
            || (read >= 2 * event.size() && read <= 2 * event.size() + lineEnd.size())
            || read == events.size();
        CHECK(boundary.isInsideEvent() == !isBetween);
    }
    CHECK(boundary.events() == 3);
}

TEST_CASE("A partial event that is discarded does not count")
{
    auto boundary = EventBoundary {};
    boundary.consume("id: 1\n\nid: 2\nda");
    CHECK(boundary.isInsideEvent());
    boundary.discardPartial();
    CHECK(!boundary.isInsideEvent());
    boundary.consume("\n");
    CHECK(boundary.events() == 1);
}
