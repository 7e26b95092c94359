#include <malloc.h>

#include <benchmark/benchmark.h>

#include "entryqueue.h"
#include "sharddispatcher.h"

using namespace camphorshunt;

namespace {

constexpr auto kShard = ShardId { ServiceId { 1 }, 0 };
constexpr auto kRouters = std::uint64_t { 8 };
constexpr auto kSlots = std::uint32_t { 64 };

auto allocatedBytes() -> double
{
    const auto info = mallinfo2();
    return static_cast<double>(info.uordblks + info.hblkhd);
}

auto backlog(std::int64_t organisations, std::uint64_t router) -> Demand
{
    auto demand = Demand { kShard, true, 0, {}, {} };
    for (auto organisation = std::int64_t { 0 }; organisation < organisations; ++organisation) {
        if (organisation % kRouters == router)
            demand.entries.push_back({ OrganisationId { hashName(std::to_string(organisation)) },
                RequestClass::Interactive, 1'000'000'000, 500 });
    }
    return demand;
}

auto makeBackloggedShard(std::int64_t organisations) -> std::unique_ptr<ShardDispatcher>
{
    auto shard
        = ShardDispatcher::create("fair", ShardSettings { kShard, { 1 }, { 1 }, Dispatch {}, 1 }).value();
    for (auto router = std::uint64_t { 0 }; router < kRouters; ++router)
        shard->apply(Time {}, RouterId { router }, backlog(organisations, router));
    auto upstreams = std::vector<UpstreamCapacity> {};
    for (auto upstream = std::uint64_t { 0 }; upstream < 8; ++upstream)
        upstreams.push_back({ UpstreamId { upstream }, kSlots / 8 });
    shard->setUpstreams(upstreams);
    return shard;
}

/** One grant, one charge and one end of a slot per iteration, with all slots in use. */
auto decide(benchmark::State& state) -> void
{
    auto shard = makeBackloggedShard(state.range(0));
    auto actions = Actions {};
    shard->grant(Time {}, actions);
    auto held = std::vector<std::pair<RouterId, Grant>> {};
    auto sequences = std::vector<std::uint64_t>(kRouters);
    const auto recordGrants = [&](std::size_t index) {
        for (const auto& action : actions) {
            const auto& sent = std::get<SendPeer>(action);
            const auto& grants = std::get<Grants>(sent.message);
            sequences[sent.router.value] = grants.sequence;
            for (const auto& grant : grants.grants) {
                if (index < held.size())
                    held[index] = { sent.router, grant };
                else
                    held.emplace_back(sent.router, grant);
            }
        }
        actions.clear();
    };
    recordGrants(held.size());
    auto turn = std::size_t { 0 };
    for (auto unused : state) {
        const auto index = turn++ % held.size();
        const auto& [router, grant] = held[index];
        shard->apply(Time {}, router,
            Ends { kShard, { { grant.id, grant.organisation, grant.upstream, 100.0 + turn % 7, false } },
                { { grant.id, 50 } } });
        shard->grant(Time {}, actions);
        recordGrants(index);
        if (turn % 64 == 0) {
            for (auto number = std::uint64_t { 0 }; number < kRouters; ++number)
                shard->apply(
                    Time {}, RouterId { number }, Demand { kShard, false, sequences[number], {}, {} });
        }
    }
}
BENCHMARK(decide)->Arg(10)->Arg(100)->Arg(1000)->Arg(10000);

auto applyDemand(benchmark::State& state) -> void
{
    auto shard = makeBackloggedShard(state.range(0));
    auto demand = backlog(state.range(0), 0);
    demand.full = false;
    auto turn = std::size_t { 0 };
    for (auto unused : state) {
        const auto& entry = demand.entries[turn % demand.entries.size()];
        const auto waiting = static_cast<std::uint32_t>(turn++ / demand.entries.size() % 2);
        shard->apply(Time {}, RouterId { 0 },
            Demand { kShard, false, 0, { { entry.organisation, entry.requestClass, waiting, 500 } }, {} });
    }
}
BENCHMARK(applyDemand)->Arg(10)->Arg(100)->Arg(1000)->Arg(10000);

auto pushAndPop(benchmark::State& state) -> void
{
    auto queue = EntryQueue {};
    queue.setLimits(1000, 1'000'000);
    auto request = std::uint64_t { 0 };
    const auto organisation = [&](std::uint64_t number) {
        return OrganisationId { number % static_cast<std::uint64_t>(state.range(0)) };
    };
    const auto push = [&] {
        ++request;
        queue.push({ RequestId { request }, organisation(request), RequestClass::Interactive, 500, Time {} });
    };
    for (auto filled = std::int64_t { 0 }; filled < 2 * state.range(0); ++filled)
        push();
    for (auto unused : state) {
        push();
        benchmark::DoNotOptimize(queue.pop(organisation(request), RequestClass::Interactive));
        if (request % 64 == 0)
            benchmark::DoNotOptimize(queue.takeChanges());
    }
}
BENCHMARK(pushAndPop)->Arg(10)->Arg(100)->Arg(1000)->Arg(10000);

/** Memory of the dispatcher in bytes per backlogged organisation, each at one router. */
auto dispatcherMemory(benchmark::State& state) -> void
{
    for (auto unused : state) {
        const auto before = allocatedBytes();
        const auto shard = makeBackloggedShard(state.range(0));
        state.counters["bytesPerOrganisation"]
            = (allocatedBytes() - before) / static_cast<double>(state.range(0));
    }
}
BENCHMARK(dispatcherMemory)->Arg(10000)->Iterations(1);

/** Memory of an entry queue in bytes per waiting request, with ten requests per organisation. */
auto queueMemory(benchmark::State& state) -> void
{
    for (auto unused : state) {
        const auto before = allocatedBytes();
        auto queue = EntryQueue {};
        queue.setLimits(1000, 1'000'000);
        for (auto request = std::int64_t { 0 }; request < state.range(0); ++request) {
            const auto id = static_cast<std::uint64_t>(request);
            queue.push(
                { RequestId { id }, OrganisationId { id / 10 }, RequestClass::Interactive, 500, Time {} });
        }
        state.counters["bytesPerRequest"] = (allocatedBytes() - before) / static_cast<double>(state.range(0));
    }
}
BENCHMARK(queueMemory)->Arg(100000)->Iterations(1);

} // namespace
