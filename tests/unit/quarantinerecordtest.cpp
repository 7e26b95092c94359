#include "quarantinerecord.h"

#include <catch2/catch.hpp>

using namespace camphorshunt;
using namespace camphorshunt::router;
using namespace std::chrono_literals;

namespace {

constexpr auto now = std::chrono::milliseconds(1767225600000);
const auto quarantine = PeerQuarantine { { 77 }, 0xfedcba9876543210, 12000ms, 15000ms };

} // namespace

TEST_CASE("A quarantine in the store ends when it was to, or within its length if the clock has jumped")
{
    const auto record = encodeQuarantineRecord(now, quarantine);
    const auto read = decodeQuarantineRecord(now + 2s, record.key, record.value);
    REQUIRE(read);
    CHECK(read->service == quarantine.service);
    CHECK(read->part == quarantine.part);
    CHECK(read->left == 10s);
    CHECK(read->length == 15s);
    CHECK_FALSE(read->released);
    CHECK(decodeQuarantineRecord(now - 2400s, record.key, record.value)->left == 15s);
    CHECK(decodeQuarantineRecord(now + 2400s, record.key, record.value)->left == 0s);
}

TEST_CASE("Parts in quarantine together are stored and told together")
{
    auto set = quarantine;
    set.with = { 5, 0xfedcba9876543211 };
    const auto record = encodeQuarantineRecord(now, set);
    const auto read = decodeQuarantineRecord(now, record.key, record.value);
    REQUIRE(read);
    CHECK(read->part == set.part);
    CHECK(read->with == set.with);
    auto frame = PeerFrame {};
    frame.quarantines = { quarantine, set };
    const auto told = decodePeerFrame(encodePeerFrame(frame));
    REQUIRE(told);
    REQUIRE(told.value().quarantines.size() == 2);
    CHECK(told.value().quarantines.front().with.empty());
    CHECK(told.value().quarantines.back().part == set.part);
    CHECK(told.value().quarantines.back().with == set.with);
}

TEST_CASE("The record of a released part is removed")
{
    auto released = quarantine;
    released.released = true;
    const auto record = encodeQuarantineRecord(now, released);
    CHECK(record.key == encodeQuarantineRecord(now, quarantine).key);
    CHECK(record.value.empty());
}

TEST_CASE("An odd record of a quarantine is refused")
{
    const auto record = encodeQuarantineRecord(now, quarantine);
    for (const auto* const key : { "", ".", "77", "77.", ".2", "77.xyz", "77.12345678901234567", "-1.2" })
        CHECK_FALSE(decodeQuarantineRecord(now, key, record.value));
    for (const auto* const value :
        { "", " ", "1", "1 ", "1 0", "1 -5", "-1 5", "1 86400001", "a 5", "1 5 6", "99999999999999999999 5" })
        CHECK_FALSE(decodeQuarantineRecord(now, record.key, value));
}

TEST_CASE(
    "Quarantines and refusals for them reach other routers, and older builds read a reason that they know")
{
    auto frame = PeerFrame {};
    frame.quarantines = { quarantine };
    auto decision = PeerPlacementDecision {};
    decision.number = 5;
    decision.reason = RefusalReason::Quarantined;
    auto other = PeerPlacementDecision {};
    other.number = 6;
    other.reason = RefusalReason::Waited;
    frame.placementDecisions = { decision, other };
    const auto bytes = encodePeerFrame(frame);
    const auto read = decodePeerFrame(bytes);
    REQUIRE(read);
    REQUIRE(read.value().quarantines.size() == 1);
    CHECK(read.value().quarantines.front().part == quarantine.part);
    CHECK(read.value().quarantines.front().left == quarantine.left);
    REQUIRE(read.value().placementDecisions.size() == 2);
    CHECK(read.value().placementDecisions.at(0).reason == RefusalReason::Quarantined);
    CHECK(read.value().placementDecisions.at(1).reason == RefusalReason::Waited);
}
