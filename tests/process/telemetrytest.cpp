#include "fleet.h"

#include <array>

#include <catch2/catch.hpp>

using namespace camphorshunt::test;

TEST_CASE("A daemon's metrics count requests by outcome and have no organisation label")
{
    auto options = FleetOptions {};
    options.routers = 1;
    options.engines = 1;
    auto fleet = Fleet(options);
    REQUIRE(fleet.awaitMembers(1));
    REQUIRE(call(fleet.router(0).callers, Fleet::chat(0, 3)).isComplete());
    REQUIRE(call(fleet.router(0).callers, Fleet::booking(1, Fleet::makeKey())).outcome() == "done");
    auto wrongKey = Fleet::chat(0, 1);
    wrongKey.headers[0].value = "Bearer wrong";
    REQUIRE(call(fleet.router(0).callers, wrongKey).status == 401);

    constexpr auto wanted = std::array {
        R"(camphorshunt_requests_total{outcome="done",service="assistant"} 1)",
        R"(camphorshunt_requests_total{outcome="done",service="booking"} 1)",
        R"(camphorshunt_requests_total{outcome="not-run",service="none"} 1)",
        R"(camphorshunt_refusals_total{reason="unauthorised"} 1)",
        R"(camphorshunt_queue_wait_seconds_count{service="assistant"} 1)",
        R"(camphorshunt_time_to_first_byte_seconds_count{service="booking"} 1)",
        R"(camphorshunt_claims_total{step="won"} 1)",
        "camphorshunt_grants_total 2",
        "camphorshunt_members_alive 1",
        R"(camphorshunt_document_version{service="assistant"} 1)",
        R"(camphorshunt_ring_depth{ring="callers-scheduler"} 0)",
        "camphorshunt_spans_dropped_total 0",
    };
    auto text = std::string {};
    for (const auto* const line : wanted) {
        CAPTURE(line);
        CHECK(eventually([&] {
            text = get(fleet.router(0).admin, "/metrics").body;
            return text.find(line) != std::string::npos;
        }));
    }
    CHECK(text.find("org-0") == std::string::npos);
    CHECK(text.find("organisation=") == std::string::npos);
}
