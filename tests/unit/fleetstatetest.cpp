#include "fleetstate.h"

#include <algorithm>

#include <catch2/catch.hpp>

#include "simulatedstore.h"

using namespace camphorshunt;
using namespace camphorshunt::router;
using namespace std::chrono_literals;

namespace {

constexpr auto engineCount = std::size_t { 5 };
constexpr auto oldEra = std::uint64_t { 4 };

struct Fixture {
    using Result = FleetState::PageResult;

    Fixture() { CHECK(state.applyDirectoryPage(now, snapshot(oldEra, engineCount, 40)) == Result::Changed); }

    static auto snapshot(std::uint64_t era, std::size_t engines, std::uint64_t end) -> DirectoryPage
    {
        auto page = DirectoryPage { true, 0, end, {} };
        page.era = era;
        for (auto index = std::size_t { 0 }; index < engines; ++index)
            page.records.push_back(load::SimulatedStore::directoryRecord(index, "ready"));
        return page;
    }

    static auto removal(std::uint64_t era, std::size_t engine, std::uint64_t offset) -> DirectoryPage
    {
        auto page = DirectoryPage { false, offset, offset + 1, {} };
        page.era = era;
        page.records.push_back({ "engine-" + std::to_string(engine), std::nullopt, offset });
        return page;
    }

    /** Time passes in which the directory is read and has not changed. */
    auto passReading(std::uint64_t era, std::uint64_t end, Duration time) -> void
    {
        for (const auto until = now + time; now < until; now += 100ms) {
            auto page = DirectoryPage { false, end, end, {} };
            page.era = era;
            state.applyDirectoryPage(now, page);
        }
    }

    auto lists(std::size_t engine) const -> bool
    {
        const auto upstreams = state.upstreams();
        return std::ranges::find(*upstreams, "engine-" + std::to_string(engine), &UpstreamEntry::name)
            != upstreams->end();
    }

    Time now { 100s };
    RouterLog log;
    FleetState state { log };
};

} // namespace

TEST_CASE("A removal at an offset that the store has given out before is applied")
{
    auto fixture = Fixture {};
    auto& state = fixture.state;
    CHECK(state.applyDirectoryPage(fixture.now, Fixture::snapshot(oldEra + 1, engineCount, 10))
        == Fixture::Result::Unchanged);
    CHECK(state.directoryEnd() == 10);
    fixture.passReading(oldEra + 1, 10, 3300ms);
    CHECK(state.applyDirectoryPage(fixture.now, Fixture::removal(oldEra + 1, 2, 10))
        == Fixture::Result::Changed);
    CHECK_FALSE(fixture.lists(2));
}

TEST_CASE("Records of a new era are not applied before the whole directory has been read again")
{
    const auto offset = GENERATE(39, 40);
    auto fixture = Fixture {};
    CHECK(fixture.state.applyDirectoryPage(fixture.now, Fixture::removal(oldEra + 1, 2, offset))
        == Fixture::Result::Gap);
    CHECK(fixture.lists(2));
    CHECK(fixture.state.directoryEra() == oldEra);
}

TEST_CASE("State of an older era does not come back, whatever its offsets")
{
    auto fixture = Fixture {};
    auto& state = fixture.state;
    state.applyDirectoryPage(fixture.now, Fixture::snapshot(oldEra + 1, engineCount, 10));
    fixture.passReading(oldEra + 1, 10, 3s);
    state.applyDirectoryPage(fixture.now, Fixture::removal(oldEra + 1, 2, 10));
    CHECK(state.applyDirectoryPage(fixture.now, Fixture::snapshot(oldEra, engineCount, 50))
        == Fixture::Result::Outdated);
    CHECK(
        state.applyDirectoryPage(fixture.now, Fixture::removal(oldEra, 3, 11)) == Fixture::Result::Outdated);
    CHECK_FALSE(fixture.lists(2));
    CHECK(fixture.lists(3));
    CHECK(state.directoryEnd() == 11);
}

TEST_CASE("Upstreams that an older copy lacks stay in use for as long as live ones need to list themselves")
{
    auto fixture = Fixture {};
    auto& state = fixture.state;
    state.applyDirectoryPage(fixture.now, Fixture::snapshot(oldEra + 1, engineCount - 1, 10));
    CHECK(fixture.lists(engineCount - 1));
    fixture.now += 2s;
    CHECK_FALSE(state.removeExpired(fixture.now));
    fixture.now += 500ms;
    CHECK(state.removeExpired(fixture.now));
    CHECK_FALSE(fixture.lists(engineCount - 1));
}

TEST_CASE("Pages of older builds and of stores that name no era are compared by their offsets")
{
    auto fixture = Fixture {};
    auto& state = fixture.state;
    CHECK(state.applyDirectoryPage(fixture.now, Fixture::snapshot(0, 1, 30)) == Fixture::Result::Unchanged);
    CHECK(fixture.lists(4));
    CHECK(state.applyDirectoryPage(fixture.now, Fixture::removal(0, 4, 40)) == Fixture::Result::Changed);
    CHECK(state.directoryEra() == oldEra);
}
