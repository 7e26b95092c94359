#include <benchmark/benchmark.h>

#include "placer.h"

using namespace camphorshunt;

namespace {

/** Short, so that no first token is overdue when half of the engines have sent theirs. */
constexpr auto passInterval = Duration(std::chrono::microseconds(100));
constexpr auto promptTokens = 2000U;

/** A service whose engines each prefill one prompt; no request waits. */
struct BusyService {
    explicit BusyService(std::size_t engineCount)
    {
        auto entries = std::vector<UpstreamEntry> {};
        for (auto index = std::size_t { 0 }; index < engineCount; ++index) {
            auto entry = UpstreamEntry {};
            entry.name = "engine-" + std::to_string(index);
            entry.endpoint = { "10.0.0.1", 80 };
            entry.slots = 8;
            entries.push_back(entry);
        }
        placer.setTraits({ 8, 1000000, 500.0 }, 0);
        placer.setUpstreams(now, entries);
        for (auto index = std::size_t { 0 }; index < engineCount; ++index)
            submit();
    }

    auto submit() -> void
    {
        auto request = PlacementRequest {};
        request.key = { RouterId { 1 }, ++number };
        request.prompt.tokens = promptTokens;
        request.prompt.outputLimit = 10;
        request.prompt.parts.push_back({ number, promptTokens });
        request.goal = now + std::chrono::milliseconds(800);
        request.deadline = now + std::chrono::seconds(10);
        placer.submit(now, request);
        placer.placeWaiting(now);
    }

    /** One pass, after one of the requests has ended. */
    auto pass() -> void
    {
        now += passInterval;
        const auto ended = PlacementKey { RouterId { 1 }, ++endedNumber };
        placer.onStarted(now, ended);
        placer.onEnded(now, ended, PlacementEnd::Finished);
        benchmark::DoNotOptimize(placer.placeWaiting(now));
    }

    Time now { Duration(std::chrono::seconds(100)) };
    std::uint64_t number = 0;
    std::uint64_t endedNumber = 0;
    Placer placer { Placer::Settings {} };
};

/** Cost of a pass while nothing waits, by the number of engines. */
auto placerPass(benchmark::State& state) -> void
{
    const auto engines = static_cast<std::size_t>(state.range(0));
    auto service = BusyService(engines);
    for (auto turn = std::size_t { 0 }; state.KeepRunning(); ++turn) {
        service.pass();
        if (turn % (engines / 2) == 0) {
            state.PauseTiming();
            service = BusyService(engines);
            state.ResumeTiming();
        }
    }
}

} // namespace

BENCHMARK(placerPass)->Arg(40)->Arg(250)->Arg(1000);
