#include "fleet.h"

#include <catch2/catch.hpp>

using namespace camphorshunt::test;

namespace {

constexpr auto tokens = 40;

/** Whether the answer has every event once and in order, followed by the final `done` event. */
auto isCompleteStream(const Answer& answer) -> bool
{
    auto at = std::size_t {};
    for (auto event = 1; event <= tokens; ++event) {
        const auto text = "id: " + std::to_string(event) + "\n";
        const auto found = answer.body.find(text, at);
        if (found == std::string::npos || answer.body.find(text, found + 1) != std::string::npos)
            return false;
        at = found;
    }
    return answer.isComplete() && answer.body.find("event: done", at) != std::string::npos;
}

} // namespace

TEST_CASE("A stream that its upstream truncates or stalls reaches its caller complete")
{
    auto options = FleetOptions {};
    options.firstByteTimeoutMs = 1000;
    options.gapTimeoutMs = 1000;
    auto fleet = Fleet(options);
    REQUIRE(fleet.awaitMembers(3));
    const auto* const fault = GENERATE(R"({"mode":"cut","afterEvents":7,"count":1})",
        R"({"mode":"silent","afterEvents":7,"count":1})", R"({"mode":"silent","count":1})");
    CAPTURE(fault);
    for (auto index = std::size_t {}; index < 2; ++index)
        fleet.engine(index).fault(fault);
    for (auto index = std::size_t {}; index < fleet.size(); ++index)
        CHECK(isCompleteStream(call(fleet.router(index).callers, Fleet::chat(index, tokens))));
}

TEST_CASE("A booking whose answer is truncated, mismatched or missing is reported as unknown and executed at "
          "most once")
{
    auto options = FleetOptions {};
    options.firstByteTimeoutMs = 1000;
    options.gapTimeoutMs = 1000;
    auto fleet = Fleet(options);
    REQUIRE(fleet.awaitMembers(3));
    const auto* const fault = GENERATE(R"({"mode":"cut","count":1})", R"({"mode":"crossed","count":1})",
        R"({"mode":"lost-ack","count":1})", R"({"mode":"slow","delayMs":3000,"count":1})");
    CAPTURE(fault);
    fleet.bookingService().fault(fault);
    const auto key = Fleet::makeKey();
    const auto answer = call(fleet.router(0).callers, Fleet::booking(1, key));
    CHECK(answer.outcome() == "unknown");
    const auto next = Fleet::makeKey();
    CHECK(call(fleet.router(0).callers, Fleet::booking(1, next)).outcome() == "done");
    CHECK(call(fleet.router(1).callers, Fleet::booking(1, key)).status == 409);
    CHECK(fleet.executionCount(key) <= 1);
    CHECK(fleet.executionCount(next) == 1);
}
