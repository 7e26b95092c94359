#include "fleet.h"

#include <catch2/catch.hpp>

using namespace camphorshunt::test;

TEST_CASE("A stream requested from any daemon is answered completely, whichever daemon dispatches it")
{
    auto fleet = Fleet(FleetOptions {});
    REQUIRE(fleet.awaitMembers(3));
    for (auto index = std::size_t {}; index < fleet.size(); ++index) {
        const auto answer = call(fleet.router(index).callers, Fleet::chat(index, 20));
        CHECK(answer.status == 200);
        CHECK(answer.isComplete());
        CHECK(answer.body.find("id: 20\n") != std::string::npos);
        CHECK(answer.body.find("event: done") != std::string::npos);
    }
}

TEST_CASE("A booking is executed once, protected by a claim on the log, and a second request with its key is "
          "refused")
{
    auto fleet = Fleet(FleetOptions {});
    REQUIRE(fleet.awaitMembers(3));
    const auto key = Fleet::makeKey();

    const auto first = call(fleet.router(0).callers, Fleet::booking(1, key));
    CHECK(first.status == 200);
    CHECK(first.outcome() == "done");

    const auto second = call(fleet.router(1).callers, Fleet::booking(1, key));
    CHECK(second.status == 409);
    CHECK(second.outcome() != "not-run");
    CHECK(fleet.executionCount(key) == 1);
}

TEST_CASE("A caller without a valid key, service or operation is refused as not run")
{
    auto fleet = Fleet(FleetOptions {});
    REQUIRE(fleet.awaitMembers(3));
    auto request = Fleet::chat(0, 1);
    request.headers[0].value = "Bearer wrong";
    const auto unauthorised = call(fleet.router(0).callers, request);
    CHECK(unauthorised.status == 401);
    CHECK(unauthorised.outcome() == "not-run");

    request = Fleet::chat(0, 1);
    request.target = "/v1/nothing/chat";
    CHECK(call(fleet.router(0).callers, request).status == 404);
    request.target = "/v1/assistant/nothing";
    CHECK(call(fleet.router(0).callers, request).status == 404);

    request = Fleet::booking(0, "not-a-uuid");
    const auto keyless = call(fleet.router(0).callers, request);
    CHECK(keyless.status == 400);
    CHECK(keyless.outcome() == "not-run");
}
