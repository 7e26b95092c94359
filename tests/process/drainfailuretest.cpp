#include "fleet.h"

#include <signal.h>

#include <catch2/catch.hpp>

using namespace camphorshunt::test;

TEST_CASE("A daemon that receives SIGTERM completes its running and queued streams, refuses new requests and "
          "exits with code 0")
{
    auto options = FleetOptions {};
    options.engines = 1;
    options.slots = 2;
    options.tokenMs = 20;
    auto fleet = Fleet(options);
    REQUIRE(fleet.awaitMembers(3));
    auto calls = std::vector<std::future<Answer>> {};
    for (auto index = std::size_t {}; index < 6; ++index)
        calls.push_back(callAsync(fleet.router(0).callers, Fleet::chat(index, 50)));
    REQUIRE(eventually(
        [&] { return fleet.waiting(0, "assistant") == 4 && Fleet::running(fleet.engine(0)) == 2; }));

    fleet.router(0).process->signal(SIGTERM);
    REQUIRE(eventually([&] { return get(fleet.router(0).admin, "/ready").status != 200; }));
    const auto refused = call(fleet.router(0).callers, Fleet::chat(7, 1));
    CHECK((refused.status == 0 || refused.outcome() == "not-run"));
    for (auto& each : calls) {
        const auto answer = each.get();
        CHECK(answer.isComplete());
        CHECK(answer.body.find("event: done") != std::string::npos);
    }
    CHECK(fleet.router(0).process->wait() == 0);
}
