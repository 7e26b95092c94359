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

/** Starts a repeatable call of the plain service, which uses a slot and appends no claim. */
auto historyLater(Fleet& fleet, std::size_t router) -> std::future<Answer>
{
    auto request = Fleet::booking(organisation, {});
    request.target = "/v1/booking/history";
    request.headers.pop_back();
    return callAsync(fleet.router(router).callers, std::move(request));
}

/** Retries a key while the answer is "not run". */
auto bookUntilRun(Fleet& fleet, std::size_t router, std::string_view key) -> Answer
{
    auto answer = Answer {};
    eventually([&] {
        answer = book(fleet, router, key);
        return answer.outcome() != "not-run";
    });
    return answer;
}

/** Retries a key until it has run, also while an abandoned claim of it still blocks it. */
auto bookUntilDone(Fleet& fleet, std::size_t router, std::string_view key) -> bool
{
    return eventually([&] {
        const auto answer = book(fleet, router, key);
        return answer.status == 200 && answer.outcome() == "done";
    });
}

/** Options of a fleet with one booking slot, so that a won claim can wait for it before it is sent. */
auto oneSlotOptions() -> FleetOptions
{
    auto options = FleetOptions {};
    options.bookingSlots = 1;
    return options;
}

/** A won claim that waits for the slot, which `occupant` holds until the booking service is resumed. */
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

auto allHaveRead(Fleet& fleet, std::uint64_t end) -> bool
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

TEST_CASE("A key whose daemon is killed before it sends the claimed request is never run and stays refused")
{
    auto fleet = Fleet(oneSlotOptions());
    REQUIRE(fleet.awaitMembers(3));
    const auto key = Fleet::makeKey();
    auto held = holdClaim(fleet, 0, key);

    fleet.killRouter(0);
    CHECK(held.booking.get().status == 0);
    const auto retry = bookUntilRun(fleet, 1, key);
    CHECK(retry.status == 409);
    CHECK(retry.outcome() == "unknown");
    release(fleet, held);
    fleet.startRouter(0);
    REQUIRE(fleet.awaitMembers(3));
    CHECK(bookUntilRun(fleet, 0, key).outcome() == "unknown");
    CHECK(fleet.executionCount(key) == 0);
    CHECK(bookUntilDone(fleet, 0, Fleet::makeKey()));
}

TEST_CASE(
    "A claimed request whose daemon is killed after sending it runs once, and no other daemon repeats it")
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
        const auto retry = bookUntilRun(fleet, router, key);
        CHECK(retry.status == 409);
        CHECK(retry.outcome() == "unknown");
    }
    fleet.startRouter(0);
    REQUIRE(fleet.awaitMembers(3));
    CHECK(bookUntilRun(fleet, 0, key).outcome() == "unknown");
    CHECK(fleet.executionCount(key) == 1);
}

TEST_CASE("A key whose claim is held by a daemon that is paused and resumed runs exactly once")
{
    auto fleet = Fleet(oneSlotOptions());
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

TEST_CASE(
    "While the log refuses, bookings are not run and other requests are served, and afterwards the keys run")
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

TEST_CASE(
    "An append that completes after its claim was abandoned runs nothing, and the key's next attempt runs")
{
    auto fleet = Fleet(FleetOptions {});
    REQUIRE(fleet.awaitMembers(3));
    const auto key = Fleet::makeKey();

    SECTION("the log is paused with the record in its socket")
    {
        fleet.log().process->signal(SIGSTOP);
        const auto answer = book(fleet, 0, key);
        CHECK(answer.outcome() == "not-run");
        CHECK(fleet.executionCount(key) == 0);
        fleet.log().process->signal(SIGCONT);
    }
    SECTION("the log closes the connection and writes the record much later")
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

TEST_CASE("With a log that is slow or loses answers to appends, each booking runs, and runs only once")
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

TEST_CASE("A daemon that was paused while the log was trimmed repeats none of the trimmed claims")
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
        const auto retry = bookUntilRun(fleet, 2, key);
        CHECK(retry.status == 409);
        CHECK(fleet.executionCount(key) == 1);
    }
    CHECK(bookUntilDone(fleet, 2, Fleet::makeKey()));
}

TEST_CASE("A fleet restarted without its state knows from the log which keys have run")
{
    auto fleet = Fleet(oneSlotOptions());
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

TEST_CASE(
    "A fleet restarted without its state on a trimmed log refuses old keys instead of running them again")
{
    auto fleet = Fleet(FleetOptions {});
    REQUIRE(fleet.awaitMembers(3));
    const auto key = Fleet::makeKey();
    REQUIRE(bookUntilRun(fleet, 0, key).outcome() == "done");
    REQUIRE(allHaveRead(fleet, fleet.endOfStream("claims-0")));
    fleet.trim("claims-0");
    fleet.restartAll();
    REQUIRE(fleet.awaitMembers(3));
    for (auto index = std::size_t {}; index < fleet.size(); ++index) {
        const auto retry = bookUntilRun(fleet, index, key);
        CHECK(retry.status == 409);
        CHECK(retry.outcome() == "unknown");
    }
    CHECK(fleet.executionCount(key) == 1);
}

TEST_CASE(
    "A hundred keys, each sent to two daemons concurrently, run at most once, and not-run answers are true")
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

    // A key runs at most as often as it was sent with an answer other than "not run".
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
