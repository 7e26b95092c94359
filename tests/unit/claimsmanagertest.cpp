#include "claimsmanager.h"

#include <catch2/catch.hpp>

#include "claimsfixture.h"

using namespace camphorshunt;
using namespace claimsfixture;

TEST_CASE("An idempotency key is a UUID of version 7")
{
    const auto parse = [](std::string_view text) { return ClaimsManager::parseKey(text, { 1 }, { 2 }); };
    const auto key = parse("018f3c5e-8a00-7abc-8def-0123456789ab");
    REQUIRE(key);
    CHECK(key->issuedMs() == 0x018f3c5e8a00);
    CHECK(key->keyLow == 0x8def0123456789ab);
    for (const auto* text :
        { "", "018f3c5e-8a00-4abc-8def-0123456789ab", "018f3c5e-8a00-7abc-0def-0123456789ab",
            "018f3c5e8a007abc8def0123456789ab", "018f3c5e-8a00-7abc-8def-0123456789a",
            "018f3c5e-8a00-7abc-8def-0123456789ag", "018f3c5e-8a00-7abc-8def-0123-56789ab" })
        CHECK_FALSE(parse(text));
}

TEST_CASE("A claim is won at its own offset, and a second claim for the key is refused")
{
    auto fleet = Fleet(2);
    const auto key = fleet.newKey();
    const auto request = fleet.beginClaim(0, key).value();
    fleet.runWithoutFaults();
    CHECK(fleet.isWon(0, request));
    CHECK(fleet.refusal(1, key) == ClaimRefusal::Running);

    fleet.router(0).manager->settle(fleet.now, request);
    fleet.runWithoutFaults();
    CHECK(fleet.refusal(1, key) == ClaimRefusal::Done);
    CHECK_FALSE(fleet.router(0).manager->hasUnwritten());
}

TEST_CASE("One of two concurrent claims for a key wins, and the other stays lost")
{
    auto fleet = Fleet(2);
    const auto key = fleet.newKey();
    const auto first = fleet.beginClaim(0, key).value();
    const auto second = fleet.beginClaim(1, key).value();
    fleet.runWithoutFaults();
    REQUIRE(fleet.isWon(0, first) != fleet.isWon(1, second));

    const auto winner = fleet.isWon(0, first) ? 0U : 1U;
    fleet.router(winner).manager->abandon(fleet.now, winner == 0 ? first : second);
    fleet.runWithoutFaults();
    CHECK_FALSE(fleet.isWon(1 - winner, winner == 0 ? second : first));
    const auto third = fleet.beginClaim(1 - winner, key).value();
    fleet.runWithoutFaults();
    CHECK(fleet.isWon(1 - winner, third));
}

TEST_CASE("A claim whose append answer is lost is decided by reading the stream")
{
    auto fleet = Fleet(2);
    const auto request = fleet.beginClaim(0, fleet.newKey()).value();
    fleet.tick(0);
    fleet.endAppend(0, Fate::LandsUnanswered);
    fleet.readAll(0);
    CHECK(fleet.isWon(0, request));
}

TEST_CASE("A claim abandoned before its record is appended leaves the key free")
{
    auto fleet = Fleet(2);
    const auto key = fleet.newKey();
    const auto request = fleet.beginClaim(0, key).value();
    fleet.tick(0);
    fleet.endAppend(0, Fate::LandsLate);
    fleet.router(0).manager->abandon(fleet.now, request);
    CHECK(fleet.router(0).manager->hasUnwritten());
    fleet.runWithoutFaults();
    CHECK_FALSE(fleet.router(0).manager->hasUnwritten());
    fleet.appendLate(0);
    fleet.runWithoutFaults();

    const auto next = fleet.beginClaim(1, key).value();
    fleet.runWithoutFaults();
    CHECK(fleet.isWon(1, next));
    CHECK_FALSE(fleet.isWon(0, request));
}

TEST_CASE("A claim whose append the log refuses is refused after a time limit, with nothing left to write")
{
    auto fleet = Fleet(1);
    const auto request = fleet.beginClaim(0, fleet.newKey()).value();
    for (auto i = 0; i < 400 && !fleet.router(0).refused.contains(request); ++i) {
        fleet.advance(20ms);
        fleet.readAll(0);
        fleet.tick(0);
        fleet.endAppend(0, Fate::Refused);
    }
    CHECK(fleet.router(0).refused.at(request) == ClaimRefusal::Unavailable);
    CHECK_FALSE(fleet.router(0).manager->hasUnwritten());
}

TEST_CASE("Keyed requests are refused immediately while the log is unavailable or its tail is stale")
{
    auto fleet = Fleet(1);
    CHECK(fleet.router(0).manager->ready());
    auto actions = Actions();
    fleet.router(0).manager->handle(fleet.now, LogUnavailable { stream }, actions);
    CHECK(fleet.refusal(0, fleet.newKey()) == ClaimRefusal::Unavailable);
    CHECK_FALSE(fleet.router(0).manager->ready());

    fleet.readAll(0);
    CHECK_FALSE(fleet.refusal(0, fleet.newKey()));
    fleet.advance(3s);
    CHECK(fleet.refusal(0, fleet.newKey()) == ClaimRefusal::Unavailable);
}

TEST_CASE("A key outside its window is refused")
{
    auto fleet = Fleet(1);
    CHECK(fleet.refusal(0, fleet.keyIssued(-2h)) == ClaimRefusal::KeyTooOld);
    CHECK(fleet.refusal(0, fleet.keyIssued(60s)) == ClaimRefusal::KeyFromFuture);
    CHECK_FALSE(fleet.refusal(0, fleet.keyIssued(20s)));
    CHECK_FALSE(fleet.refusal(0, fleet.keyIssued(-50min)));
}

TEST_CASE("A router started after a trim knows old keys only from a peer's snapshot")
{
    auto fleet = Fleet(2);
    const auto key = fleet.newKey();
    fleet.beginClaim(0, key).value();
    fleet.runWithoutFaults();
    fleet.trimAll();
    fleet.crash(1);
    fleet.runWithoutFaults();
    CHECK(fleet.refusal(1, key) == ClaimRefusal::KeyTooOld);

    fleet.sendSnapshot(0, 1);
    fleet.runWithoutFaults();
    CHECK(fleet.refusal(1, key) == ClaimRefusal::Running);
    CHECK_FALSE(fleet.refusal(1, fleet.newKey()));
}

TEST_CASE(
    "A restarted router covers keys issued after a retained record's writer had read the trimmed records")
{
    auto fleet = Fleet(2);
    fleet.beginClaim(0, fleet.newKey()).value();
    fleet.runWithoutFaults();
    fleet.log.first = fleet.log.end();
    fleet.beginClaim(0, fleet.newKey()).value();
    fleet.runWithoutFaults();
    fleet.advance(10min);
    fleet.crash(1);
    fleet.runWithoutFaults();
    CHECK_FALSE(fleet.refusal(1, fleet.keyIssued(-9min)));
    CHECK(fleet.refusal(1, fleet.keyIssued(-10min)) == ClaimRefusal::KeyTooOld);
}

TEST_CASE("A claim in flight when the log is trimmed past the reader is refused and abandoned")
{
    auto fleet = Fleet(2);
    const auto request = fleet.beginClaim(0, fleet.newKey()).value();
    fleet.tick(0);
    fleet.endAppend(0, Fate::LandsUnanswered);
    fleet.beginClaim(1, fleet.newKey()).value();
    fleet.tick(1);
    fleet.endAppend(1, Fate::Lands);
    fleet.trimAll();
    fleet.readAll(0);
    CHECK(fleet.router(0).refused.at(request) == ClaimRefusal::Unavailable);
    CHECK(fleet.router(0).manager->hasUnwritten());
}

TEST_CASE("A malformed claims record changes nothing")
{
    auto fleet = Fleet(1);
    for (const auto* body : { "", "{}", "[1]", R"({"type":"claims","router":7})", R"({"type":"edit"})" })
        fleet.log.bodies.emplace_back(body);
    const auto request = fleet.beginClaim(0, fleet.newKey()).value();
    fleet.runWithoutFaults();
    CHECK(fleet.isWon(0, request));
}

TEST_CASE("A record that is appended again after its claim was abandoned does not claim the key")
{
    auto fleet = Fleet(2);
    const auto key = fleet.newKey();
    const auto request = fleet.beginClaim(0, key).value();
    fleet.tick(0);
    const auto record = fleet.router(0).append->body;
    fleet.runWithoutFaults();
    REQUIRE(fleet.isWon(0, request));
    fleet.router(0).manager->abandon(fleet.now, request);
    fleet.runWithoutFaults();
    fleet.log.bodies.push_back(record);
    fleet.runWithoutFaults();

    const auto next = fleet.beginClaim(1, key).value();
    fleet.runWithoutFaults();
    CHECK(fleet.isWon(1, next));
}

TEST_CASE("A snapshot of a peer that has not read up to the first retained record is not adopted")
{
    auto fleet = Fleet(3);
    const auto key = fleet.newKey();
    fleet.beginClaim(1, key).value();
    fleet.tick(1);
    fleet.endAppend(1, Fate::Lands);
    fleet.readAll(1);
    fleet.trimAll();
    fleet.crash(2);
    fleet.readAll(2);
    fleet.sendSnapshot(0, 2);
    fleet.readAll(2);
    CHECK(fleet.refusal(2, key) == ClaimRefusal::KeyTooOld);
}
