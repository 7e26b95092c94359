#include "storepacer.h"

#include <catch2/catch.hpp>

using namespace camphorshunt;
using namespace camphorshunt::router;
using namespace std::chrono_literals;

namespace {

auto unavailable() -> Error { return failure(Error::Code::Unavailable, "store", "503"); }

struct Counts {
    int directory = 0;
    int fullReads = 0;
    int configuration = 0;
    int joins = 0;
};

/** Reports the result of every call immediately, and counts the calls. Advances `now` by `length`. */
auto simulateCalls(
    StorePacer& pacer, StorePacer::RouterState state, Time& now, Duration length, bool succeeds) -> Counts
{
    auto counts = Counts {};
    const auto end = now + length;
    for (; now < end; now += 10ms) {
        for (const auto& call : pacer.dueCalls(now, state)) {
            if (const auto* const read = std::get_if<ReadDirectory>(&call)) {
                ++counts.directory;
                counts.fullReads += read->from ? 0 : 1;
                pacer.directoryRead(
                    now, succeeds ? Result<DirectoryPage>(DirectoryPage {}) : unavailable(), now);
            } else if (std::holds_alternative<ReadConfiguration>(call)) {
                ++counts.configuration;
                pacer.configurationRead(now,
                    succeeds ? Result<ConfigurationRead::Content>(ConfigurationRead::Content {})
                             : unavailable(),
                    now);
            } else {
                ++counts.joins;
                pacer.fleetJoined(now, succeeds);
            }
        }
    }
    return counts;
}

} // namespace

TEST_CASE("The reader reads the directory at least twice a second, so that leaving upstreams are noticed")
{
    auto pacer = StorePacer({ "10.0.0.1:7" });
    auto now = Time { 10s };
    const auto counts = simulateCalls(pacer, { 5, true, true, true }, now, 10s, true);
    CHECK(counts.directory >= 20);
    CHECK(counts.directory <= 30);
    CHECK(counts.configuration >= 5);
    CHECK(counts.joins == 1);
}

TEST_CASE("Other routers do not call the store while they receive updates from the reader")
{
    auto pacer = StorePacer({ "10.0.0.1:7" });
    auto now = Time { 10s };
    simulateCalls(pacer, { std::nullopt, false, false, true }, now, 100ms, true);
    auto calls = 0;
    for (auto round = 0; round < 50; ++round) {
        pacer.directoryUpdated(now);
        pacer.configurationConfirmed(now);
        const auto counts = simulateCalls(pacer, { 5, true, false, true }, now, 400ms, true);
        calls += counts.directory + counts.configuration;
    }
    CHECK(calls == 0);
    const auto alone = simulateCalls(pacer, { 5, true, false, true }, now, 5s, true);
    CHECK(alone.directory >= 3);
    CHECK(alone.configuration >= 2);
}

TEST_CASE("A store that fails is read at most twice a second for each topic")
{
    auto pacer = StorePacer({ "10.0.0.1:7" });
    auto now = Time { 10s };
    const auto counts = simulateCalls(pacer, { 5, true, true, true }, now, 10s, false);
    CHECK(!pacer.isReachable());
    CHECK(counts.directory <= 21);
    CHECK(counts.configuration <= 21);
    CHECK(counts.joins <= 11);
    simulateCalls(pacer, { 5, true, true, true }, now, 1s, true);
    CHECK(pacer.isReachable());
}

TEST_CASE("After records have expired, the entire directory is read again")
{
    auto pacer = StorePacer({ "10.0.0.1:7" });
    auto now = Time { 10s };
    pacer.dueCalls(now, { 5, true, true, true });
    pacer.directoryRead(now, failure(Error::Code::NotFound, "store", "410"), now);
    const auto counts = simulateCalls(pacer, { 5, true, true, true }, now, 300ms, true);
    CHECK(counts.fullReads == 1);
}

// All routers of a large fleet that lost power read the whole directory and the addresses of all others at
// once.
TEST_CASE("Routers that start together leave the store to the hubs, but not for long")
{
    for (const auto isHub : { true, false }) {
        auto pacer = StorePacer({ "10.0.0.1:7" });
        auto now = Time { 10s };
        auto state = StorePacer::RouterState {};
        state.hasPeers = true;
        state.isHub = isHub;
        state.fleetSize = 300;
        const auto soon = simulateCalls(pacer, state, now, 350ms, true);
        CHECK((soon.directory > 0) == isHub);
        CHECK((soon.configuration > 0) == isHub);
        CHECK(soon.joins == 0);
        const auto later = simulateCalls(pacer, state, now, 350ms, true);
        CHECK(later.joins == 1);
        CHECK(soon.directory + later.directory > 0);
        CHECK(soon.configuration + later.configuration > 0);
    }
    auto alone = StorePacer({ "10.0.0.1:7" });
    auto now = Time { 10s };
    CHECK(simulateCalls(alone, {}, now, 150ms, true).directory > 0);
}

// A store reader that ran eight times slower went on sending heartbeats, which the others took for news.
TEST_CASE("A router reads the configuration itself in time if the last read of its feed is old")
{
    auto feed = StorePacer({ "10.0.0.1:7" });
    auto router = StorePacer({ "10.0.0.2:7" });
    auto now = Time { 10s };
    auto reading = StorePacer::RouterState { 5, true, true, true };
    auto fed = StorePacer::RouterState { 5, true, false, true };
    // The feed's reads are answered: its confirmations are young enough.
    auto calls = 0;
    for (auto step = 0; step < 500; ++step, now += 10ms) {
        for (const auto& call : feed.dueCalls(now, reading)) {
            const auto* const read = std::get_if<ReadConfiguration>(&call);
            if (read != nullptr)
                feed.configurationRead(now, ConfigurationRead::Content {}, now);
        }
        router.directoryUpdated(now);
        if (step % 12 == 0)
            router.configurationConfirmed(feed.lastConfigurationUpdate());
        for (const auto& call : router.dueCalls(now, fed))
            calls += std::holds_alternative<ReadConfiguration>(call) ? 1 : 0;
    }
    CHECK(calls == 0);
    // From here on they are not, although its heartbeats arrive.
    const auto stalled = now;
    while (calls == 0 && now < stalled + 10s) {
        now += 10ms;
        router.directoryUpdated(now);
        router.configurationConfirmed(feed.lastConfigurationUpdate());
        for (const auto& call : router.dueCalls(now, fed))
            calls += std::holds_alternative<ReadConfiguration>(call) ? 1 : 0;
    }
    CHECK(now - stalled < 1900ms);
}

TEST_CASE("An answer of the store that has waited for the scheduler is not taken for news")
{
    auto pacer = StorePacer({ "10.0.0.1:7" });
    const auto now = Time { 10s };
    const auto answeredAt = now - 3s;
    pacer.directoryRead(now, DirectoryPage {}, answeredAt);
    pacer.configurationRead(now, ConfigurationRead::Content {}, answeredAt);
    CHECK(pacer.lastDirectoryUpdate() == answeredAt);
    CHECK(pacer.lastConfigurationUpdate() == answeredAt);
}
