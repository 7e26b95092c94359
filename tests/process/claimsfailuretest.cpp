#include "fleet.h"

#include <array>
#include <map>

#include <signal.h>

#include <catch2/catch.hpp>

using namespace camphorshunt::test;

namespace {

constexpr auto organisation = std::size_t { 1 };

auto book(Fleet& fleet, std::size_t router, std::string_view key) -> Answer
{
    return call(fleet.router(router).callers, Fleet::booking(organisation, key));
}

auto bookLater(Fleet& fleet, std::size_t router, std::string_view key) -> std::future<Answer>
{
    return callAsync(fleet.router(router).callers, Fleet::booking(organisation, key));
}

/** A repeatable call of the plain service; it takes a slot and appends no claim. */
auto historyLater(Fleet& fleet, std::size_t router) -> std::future<Answer>
{
    auto request = Fleet::booking(organisation, {});
    request.target = "/v1/booking/history";
    request.headers.pop_back();
    return callAsync(fleet.router(router).callers, std::move(request));
}

/** Tries a key again for as long as its callers are told "not run". */
auto bookUntilRun(Fleet& fleet, std::size_t router, std::string_view key) -> Answer
{
    auto answer = Answer {};
    eventually([&] {
        answer = book(fleet, router, key);
        return answer.outcome() != "not-run";
    });
    return answer;
}

/** Tries a key again until it has run, also while an abandoned claim of it is still in the way. */
auto bookUntilDone(Fleet& fleet, std::size_t router, std::string_view key) -> bool
{
    return eventually([&] {
        const auto answer = book(fleet, router, key);
        return answer.status == 200 && answer.outcome() == "done";
    });
}

/** A fleet whose one booking slot is taken, so that a claim can be held before it is sent. */
auto oneSlot() -> FleetOptions
{
    auto options = FleetOptions {};
    options.bookingSlots = 1;
    return options;
}

/** A won claim that waits for the slot, which `occupant` holds until the service goes on. */
struct HeldClaim {
    std::future<Answer> occupant;
    std::future<Answer> booking;
};

auto holdClaim(Fleet& fleet, std::size_t router, std::string_view key) -> HeldClaim
{
    fleet.bookingService().process->signal(SIGSTOP);
    auto held = HeldClaim {};
    const auto other = (router + 1) % fleet.size();
    held.occupant = historyLater(fleet, other);
    REQUIRE(eventually([&] {
        const auto status = fleet.statusJson(other);
        return status.is_object() && status.at("requests").to_number<int>() == 1
            && fleet.waiting(other, "booking") == 0;
    }));
    held.booking = bookLater(fleet, router, key);
    REQUIRE(eventually([&] { return fleet.waiting(router, "booking") == 1; }));
    return held;
}

auto release(Fleet& fleet, HeldClaim& held) -> void
{
    fleet.bookingService().process->signal(SIGCONT);
    CHECK(held.occupant.get().outcome() == "done");
}

auto allKnow(Fleet& fleet, std::uint64_t end) -> bool
{
    return eventually([&] {
        for (auto index = std::size_t {}; index < fleet.size(); ++index) {
            if (fleet.router(index).process->isRunning() && fleet.claimsStatusNumber(index, "next") < end)
                return false;
        }
        return true;
    });
}

} // namespace

TEST_CASE("A daemon killed while it holds an unsent claim leaves the key unrun and refused for good")
{
    auto fleet = Fleet(oneSlot());
    REQUIRE(fleet.awaitMembers(3));
    const auto key = Fleet::makeKey();
    auto held = holdClaim(fleet, 0, key);

    fleet.killRouter(0);
    CHECK(held.booking.get().status == 0);
    const auto again = bookUntilRun(fleet, 1, key);
    CHECK(again.status == 409);
    CHECK(again.outcome() == "unknown");
    release(fleet, held);
    fleet.startRouter(0);
    REQUIRE(fleet.awaitMembers(3));
    CHECK(bookUntilRun(fleet, 0, key).outcome() == "unknown");
    CHECK(fleet.executionCount(key) == 0);
    CHECK(bookUntilDone(fleet, 0, Fleet::makeKey()));
}

TEST_CASE("A daemon killed after it sent a claimed request leaves one run, and no other daemon repeats it")
{
    auto options = FleetOptions {};
    options.serviceFlags = { "--call_ms=2000" };
    auto fleet = Fleet(options);
    REQUIRE(fleet.awaitMembers(3));
    const auto key = Fleet::makeKey();
    auto booking = bookLater(fleet, 0, key);
    REQUIRE(eventually([&] { return fleet.executionCount(key) == 1; }));

    fleet.killRouter(0);
    CHECK(booking.get().status == 0);
    for (const auto router : { std::size_t { 1 }, std::size_t { 2 } }) {
        const auto again = bookUntilRun(fleet, router, key);
        CHECK(again.status == 409);
        CHECK(again.outcome() == "unknown");
    }
    fleet.startRouter(0);
    REQUIRE(fleet.awaitMembers(3));
    CHECK(bookUntilRun(fleet, 0, key).outcome() == "unknown");
    CHECK(fleet.executionCount(key) == 1);
}

TEST_CASE("A holder of a claim that stands still and goes on runs its key once, and nobody else does")
{
    auto fleet = Fleet(oneSlot());
    REQUIRE(fleet.awaitMembers(3));
    const auto key = Fleet::makeKey();
    auto held = holdClaim(fleet, 0, key);

    fleet.pauseRouter(0);
    REQUIRE(eventually([&] {
        return fleet.statusJson(1).at("members").at("live").to_number<int>() == 2
            && fleet.statusJson(2).at("members").at("live").to_number<int>() == 2;
    }));
    CHECK(bookUntilRun(fleet, 1, key).outcome() == "unknown");
    CHECK(bookUntilRun(fleet, 2, key).outcome() == "unknown");
    release(fleet, held);
    CHECK(fleet.executionCount(key) == 0);

    fleet.continueRouter(0);
    const auto answer = held.booking.get();
    const auto runs = fleet.executionCount(key);
    CHECK(runs == (answer.outcome() == "not-run" ? 0 : 1));
    REQUIRE(fleet.awaitMembers(3));
    for (auto router = std::size_t {}; router < fleet.size(); ++router)
        bookUntilRun(fleet, router, key);
    CHECK(fleet.executionCount(key) == 1);
}

TEST_CASE("While the log refuses, bookings are not run and other work goes on; afterwards the keys run")
{
    auto fleet = Fleet(FleetOptions {});
    REQUIRE(fleet.awaitMembers(3));
    fleet.log().fault(R"({"mode":"outage"})");
    auto keys = std::vector<std::string> {};
    for (auto index = std::size_t {}; index < fleet.size(); ++index) {
        keys.push_back(Fleet::makeKey());
        const auto answer = book(fleet, index, keys.back());
        CHECK(answer.status == 503);
        CHECK(answer.outcome() == "not-run");
        CHECK(!answer.header("Retry-After").empty());
        CHECK(fleet.executionCount(keys.back()) == 0);
        CHECK(call(fleet.router(index).callers, Fleet::chat(index, 5)).isComplete());
    }
    fleet.log().fault(R"({"mode":"none"})");
    for (auto index = std::size_t {}; index < fleet.size(); ++index) {
        CHECK(bookUntilDone(fleet, (index + 1) % fleet.size(), keys[index]));
        CHECK(fleet.executionCount(keys[index]) == 1);
    }
}

TEST_CASE("An append that lands after its daemon gave up runs nothing, and the key's next try runs")
{
    auto fleet = Fleet(FleetOptions {});
    REQUIRE(fleet.awaitMembers(3));
    const auto key = Fleet::makeKey();

    SECTION("the log stands still with the record in its socket")
    {
        fleet.log().process->signal(SIGSTOP);
        const auto answer = book(fleet, 0, key);
        CHECK(answer.outcome() == "not-run");
        CHECK(fleet.executionCount(key) == 0);
        fleet.log().process->signal(SIGCONT);
    }
    SECTION("the log closes and writes the record much later")
    {
        fleet.log().fault(R"({"mode":"late-ack","delayMs":6000})");
        const auto end = fleet.endOfStream("claims-0");
        const auto answer = book(fleet, 0, key);
        CHECK(answer.outcome() == "not-run");
        CHECK(fleet.executionCount(key) == 0);
        REQUIRE(eventually([&] { return fleet.endOfStream("claims-0") > end; }));
        fleet.log().fault(R"({"mode":"none"})");
    }
    CHECK(bookUntilDone(fleet, 1, key));
    CHECK(fleet.executionCount(key) == 1);
    CHECK(book(fleet, 0, key).outcome() != "not-run");
    CHECK(fleet.executionCount(key) == 1);
}

TEST_CASE("A log that is slow or loses its answers while it writes costs no booking and repeats none")
{
    auto fleet = Fleet(FleetOptions {});
    REQUIRE(fleet.awaitMembers(3));
    const auto* const fault = GENERATE(
        R"({"mode":"lost-ack"})", R"({"mode":"late-ack","delayMs":300})", R"({"mode":"slow","delayMs":300})");
    CAPTURE(fault);
    fleet.log().fault(fault);
    for (auto index = std::size_t {}; index < fleet.size(); ++index) {
        const auto key = Fleet::makeKey();
        CHECK(bookUntilDone(fleet, index, key));
        CHECK(fleet.executionCount(key) == 1);
        CHECK(bookUntilRun(fleet, (index + 1) % fleet.size(), key).status == 409);
        CHECK(fleet.executionCount(key) == 1);
    }
}

TEST_CASE("A daemon that stood still while the log lost its oldest claims repeats none of them")
{
    auto fleet = Fleet(FleetOptions {});
    REQUIRE(fleet.awaitMembers(3));
    fleet.pauseRouter(2);
    auto keys = std::vector<std::string> {};
    for (auto index = 0; index < 5; ++index) {
        keys.push_back(Fleet::makeKey());
        REQUIRE(bookUntilRun(fleet, 0, keys.back()).outcome() == "done");
    }
    fleet.trim("claims-0");
    fleet.continueRouter(2);
    for (const auto& key : keys) {
        const auto again = bookUntilRun(fleet, 2, key);
        CHECK(again.status == 409);
        CHECK(fleet.executionCount(key) == 1);
    }
    CHECK(bookUntilDone(fleet, 2, Fleet::makeKey()));
}

TEST_CASE("A fleet restarted with no memory knows from the log which keys have run")
{
    auto fleet = Fleet(oneSlot());
    REQUIRE(fleet.awaitMembers(3));
    const auto ran = Fleet::makeKey();
    REQUIRE(bookUntilRun(fleet, 0, ran).outcome() == "done");
    const auto unsent = Fleet::makeKey();
    auto held = holdClaim(fleet, 0, unsent);

    fleet.restartAll();
    fleet.bookingService().process->signal(SIGCONT);
    REQUIRE(fleet.awaitMembers(3));
    for (auto index = std::size_t {}; index < fleet.size(); ++index) {
        CHECK(bookUntilRun(fleet, index, ran).status == 409);
        CHECK(bookUntilRun(fleet, index, unsent).outcome() == "unknown");
    }
    CHECK(fleet.executionCount(ran) == 1);
    CHECK(fleet.executionCount(unsent) == 0);
    CHECK(bookUntilDone(fleet, 0, Fleet::makeKey()));
}

TEST_CASE("A fleet with no memory on a trimmed log refuses old keys rather than run them again")
{
    auto fleet = Fleet(FleetOptions {});
    REQUIRE(fleet.awaitMembers(3));
    const auto key = Fleet::makeKey();
    REQUIRE(bookUntilRun(fleet, 0, key).outcome() == "done");
    REQUIRE(allKnow(fleet, fleet.endOfStream("claims-0")));
    fleet.trim("claims-0");
    fleet.restartAll();
    REQUIRE(fleet.awaitMembers(3));
    for (auto index = std::size_t {}; index < fleet.size(); ++index) {
        const auto again = bookUntilRun(fleet, index, key);
        CHECK(again.status == 409);
        CHECK(again.outcome() == "unknown");
    }
    CHECK(fleet.executionCount(key) == 1);
}

TEST_CASE("A hundred keys, each sent to two daemons at once, run once at most, and each not run is true")
{
    constexpr auto keyCount = std::size_t { 100 };
    auto options = FleetOptions {};
    options.serviceFlags = { "--call_ms=20" };
    auto fleet = Fleet(options);
    REQUIRE(fleet.awaitMembers(3));
    const auto* const fault = GENERATE(R"({"mode":"lost-ack"})", R"({"mode":"late-ack","delayMs":1000})");
    CAPTURE(fault);
    fleet.log().fault(fault);

    auto keys = std::vector<std::string> {};
    auto calls = std::vector<std::array<std::future<Answer>, 2>> {};
    for (auto index = std::size_t {}; index < keyCount; ++index) {
        keys.push_back(Fleet::makeKey());
        const auto router = index % fleet.size();
        calls.push_back({ bookLater(fleet, router, keys.back()),
            bookLater(fleet, (router + 1) % fleet.size(), keys.back()) });
        if (index == keyCount / 2)
            fleet.killRouter(2);
    }

    // Runs of a key are at most those of its tries that were not told "not run".
    auto mayHaveRun = std::map<std::string, int> {};
    for (auto index = std::size_t {}; index < keyCount; ++index) {
        for (auto& each : calls[index])
            mayHaveRun[keys[index]] += each.get().outcome() != "not-run" ? 1 : 0;
    }
    fleet.log().fault(R"({"mode":"none"})");
    auto neverRun = std::vector<std::string> {};
    for (const auto& key : keys) {
        const auto runs = fleet.executionCount(key);
        CHECK(runs <= 1);
        if (mayHaveRun[key] == 0) {
            CHECK(runs == 0);
            neverRun.push_back(key);
        }
    }
    for (const auto& key : neverRun) {
        CHECK(bookUntilDone(fleet, 0, key));
        CHECK(fleet.executionCount(key) == 1);
    }
    for (const auto& key : keys) {
        bookUntilRun(fleet, 1, key);
        CHECK(fleet.executionCount(key) <= 1);
    }
}
