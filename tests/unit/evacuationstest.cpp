#include "evacuation/evacuations.h"

#include <set>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include "peerframe.h"
#include "placerfixture.h"
#include "upstreamavailability.h"

using namespace camphorshunt;
using namespace camphorshunt::test;

namespace {

/** The operators' log, and the domains that are evacuated after each of its records. */
struct OperatorLog {
    auto write(const std::string& domain, bool active) -> void
    {
        records.push_back({ domain, active, records.size() });
        if (active)
            inForce.insert(domain);
        else
            inForce.erase(domain);
    }

    auto snapshot() const -> EvacuationRead
    {
        auto read = EvacuationRead { true, { era, records.size() }, {} };
        for (const auto& domain : inForce)
            read.records.push_back({ domain, true, 0 });
        return read;
    }

    auto from(std::size_t offset) const -> EvacuationRead
    {
        return { false, { era, records.size() },
            { records.begin() + static_cast<std::ptrdiff_t>(offset), records.end() } };
    }

    std::uint64_t era = 1;
    std::vector<EvacuationRecord> records;
    std::set<std::string> inForce;
};

auto domainsOf(const Evacuations& evacuations) -> std::set<std::string>
{
    auto domains = std::set<std::string> {};
    for (const auto& [domain, since] : evacuations.domains())
        domains.insert(domain);
    return domains;
}

auto evacuate(std::vector<UpstreamEntry>& entries, std::size_t first, std::size_t count, bool active) -> void
{
    for (auto index = first; index < first + count; ++index)
        entries.at(index).evacuated = active;
}

} // namespace

TEST_CASE("A fleet whose operators never evacuate a failure domain has nothing to tell")
{
    auto evacuations = Evacuations {};
    CHECK(evacuations.apply(Time { 1s }, EvacuationRead { true, { 1, 40 }, {} }).empty());
    CHECK(evacuations.apply(Time { 2s }, EvacuationRead { false, { 1, 41 }, {} }).empty());
    CHECK(evacuations.position() == LogPosition {});
}

TEST_CASE("Older news of evacuations never undo newer ones, also across the store's return from a copy")
{
    auto evacuations = Evacuations {};
    evacuations.apply(Time { 1s }, EvacuationRead { true, { 1, 10 }, { { "a", true, 9 } } });
    evacuations.apply(Time { 2s }, EvacuationState { { 1, 12 }, { "a", "b" } });
    evacuations.apply(Time { 3s }, EvacuationRead { false, { 1, 11 }, { { "a", false, 10 } } });
    CHECK(domainsOf(evacuations) == std::set<std::string> { "a", "b" });
    // The copy lacks the evacuation of `b`, and its offsets go back.
    evacuations.apply(Time { 4s }, EvacuationRead { true, { 2, 10 }, { { "a", true, 9 } } });
    CHECK(domainsOf(evacuations) == std::set<std::string> { "a" });
    evacuations.apply(Time { 5s }, EvacuationState { { 1, 12 }, { "a", "b" } });
    CHECK(domainsOf(evacuations) == std::set<std::string> { "a" });
}

TEST_CASE("Routers that read the log or hear of it from each other in any order agree on its last state")
{
    const auto agreed = rc::check([] {
        auto log = OperatorLog {};
        auto routers = std::vector<Evacuations>(3);
        auto offsets = std::vector<std::optional<std::size_t>>(routers.size());
        const auto steps = *rc::gen::inRange(5, 60);
        for (auto step = 0; step < steps; ++step) {
            const auto router = *rc::gen::inRange<std::size_t>(0, routers.size());
            const auto now = Time { std::chrono::seconds(step + 1) };
            switch (*rc::gen::inRange(0, 5)) {
            case 0:
            case 1:
                log.write("domain-" + std::to_string(*rc::gen::inRange(0, 4)), *rc::gen::arbitrary<bool>());
                break;
            case 2:
                // Of the records read, only those that concern other topics' keys are left out.
                routers[router].apply(now, offsets[router] ? log.from(*offsets[router]) : log.snapshot());
                offsets[router] = log.records.size();
                break;
            case 3:
                routers[router].apply(now, routers[(router + 1) % routers.size()].state());
                break;
            case 4: {
                // The store comes back from a copy without the last records; each router reads all again.
                const auto lost = *rc::gen::inRange<std::size_t>(0, 4);
                auto kept = log.records;
                kept.resize(kept.size() - std::min(lost, kept.size()));
                log = OperatorLog { log.era + 1, {}, {} };
                for (const auto& record : kept)
                    log.write(record.domain, record.active);
                for (auto& offset : offsets)
                    offset.reset();
                break;
            }
            }
        }
        for (auto& router : routers) {
            router.apply(Time { 1000s }, log.snapshot());
            RC_ASSERT(domainsOf(router) == log.inForce);
        }
    });
    CHECK(agreed);
}

TEST_CASE("Requests that wait when a failure domain is evacuated go to the engines of the others")
{
    auto fixture = PlacerFixture(4);
    for (auto count = 0; count < 60; ++count)
        fixture.placer.submit(fixture.now, fixture.requestOf(RouterId { 1 }, 50));
    evacuate(fixture.entries, 0, 2, true);
    fixture.placer.setUpstreams(fixture.now, fixture.entries);
    for (auto round = 0; round < 200; ++round) {
        fixture.placeWaiting();
        fixture.now += 2ms;
        for (const auto& [key, accepted] : std::exchange(fixture.placed, {})) {
            CHECK(accepted.upstream != fixture.entries[0].id());
            CHECK(accepted.upstream != fixture.entries[1].id());
            fixture.start(key);
            fixture.end(key);
        }
    }
    CHECK(fixture.placer.waiting() == 0);
    CHECK(fixture.refused.empty());
}

TEST_CASE("A service whose engines are all evacuated refuses at once, and serves again once they are not")
{
    auto fixture = PlacerFixture(2);
    const auto running = fixture.submit(fixture.requestOf(RouterId { 1 }, 50));
    fixture.start(running);
    evacuate(fixture.entries, 0, 2, true);
    fixture.placer.setUpstreams(fixture.now, fixture.entries);
    const auto refused = fixture.submit(fixture.requestOf(RouterId { 1 }, 50));
    REQUIRE(fixture.refused.contains(refused));
    CHECK(fixture.refused.at(refused).reason == RefusalReason::NoUpstream);
    CHECK(fixture.refused.at(refused).retryAfter > 0ms);
    CHECK(fixture.placer.running() == 1);
    evacuate(fixture.entries, 0, 2, false);
    fixture.placer.setUpstreams(fixture.now, fixture.entries);
    CHECK(fixture.placed.contains(fixture.submit(fixture.requestOf(RouterId { 1 }, 50))));
}

TEST_CASE("An engine that leaves stays unavailable when the evacuation of its failure domain ends")
{
    auto fixture = PlacerFixture(1);
    auto availability = UpstreamAvailability {};
    availability.recordLeaving(fixture.now, fixture.entries[0].process());
    evacuate(fixture.entries, 0, 1, true);
    CHECK(availability.setUpstreams(fixture.now, fixture.entries));
    evacuate(fixture.entries, 0, 1, false);
    CHECK(availability.setUpstreams(fixture.now, fixture.entries));
    CHECK_FALSE(availability.maySend(fixture.now, fixture.entries[0]));
}

TEST_CASE("Evacuations and their position survive the encoding of a frame")
{
    auto frame = router::PeerFrame {};
    frame.evacuation = EvacuationState { { 3, 99 }, { "zone-a", "zone-b" } };
    frame.heartbeat = router::PeerHeartbeat {};
    frame.heartbeat->evacuations = { 3, 99 };
    const auto decoded = router::decodePeerFrame(router::encodePeerFrame(frame));
    REQUIRE(decoded);
    CHECK(decoded.value().evacuation == frame.evacuation);
    CHECK(decoded.value().heartbeat->evacuations == frame.heartbeat->evacuations);
    frame.evacuation->domains.assign(Evacuations::maxDomains + 1, "zone");
    CHECK_FALSE(router::decodePeerFrame(router::encodePeerFrame(frame)));
}
