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
                pacer.directoryRead(now, succeeds ? Result<DirectoryPage>(DirectoryPage {}) : unavailable());
            } else if (std::holds_alternative<ReadConfiguration>(call)) {
                ++counts.configuration;
                pacer.configurationRead(now,
                    succeeds ? Result<ConfigurationRead::Content>(ConfigurationRead::Content {})
                             : unavailable());
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
    pacer.directoryRead(now, failure(Error::Code::NotFound, "store", "410"));
    const auto counts = simulateCalls(pacer, { 5, true, true, true }, now, 300ms, true);
    CHECK(counts.fullReads == 1);
}
