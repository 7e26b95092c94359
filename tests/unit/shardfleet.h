#pragma once

#include <map>
#include <memory>
#include <random>
#include <vector>

#include <catch2/catch.hpp>

#include "entryqueue.h"
#include "sharddispatcher.h"

namespace camphorshunt::test {

inline constexpr auto kShard = ShardId { ServiceId { 1 }, 0 };

inline auto shardSettings(std::uint64_t run = 1, std::uint32_t reserved = 0) -> ShardSettings
{
    auto settings = ShardSettings { kShard, Incarnation { run }, RouterId { 1 }, Dispatch {}, 7 };
    settings.dispatch.reservedSlots = reserved;
    return settings;
}

inline auto makeShard(const ShardSettings& settings, std::uint32_t slots, std::string_view policy = "fair")
    -> std::unique_ptr<ShardDispatcher>
{
    auto shard = ShardDispatcher::create(policy, settings).value();
    shard->setUpstreams(std::vector { UpstreamCapacity { UpstreamId { 1 }, slots } });
    return shard;
}

inline auto demandOf(std::vector<DemandEntry> entries) -> Demand
{
    return Demand { kShard, false, 0, std::move(entries), {} };
}

/** The Grants messages of one call of `grant`, by entry router. */
inline auto grantsOf(ShardDispatcher& shard) -> std::map<RouterId, Grants>
{
    auto actions = Actions {};
    shard.grant(Time {}, actions);
    auto result = std::map<RouterId, Grants> {};
    for (const auto& action : actions) {
        const auto& sent = std::get<SendPeer>(action);
        result[sent.router] = std::get<Grants>(sent.message);
    }
    return result;
}

struct Load {
    OrganisationId organisation;
    RequestClass requestClass {};
    /** Number of requests kept waiting at each router. */
    std::vector<std::size_t> waiting;
    std::uint32_t minCost = 1;
    std::uint32_t maxCost = 1;
    /** Ratio of the hinted cost to the real one. */
    double hintFactor = 1.0;
    double weight = 1.0;
};

/** Entry routers, one dispatcher and upstreams; each slot serves one unit per step. */
class ShardFleet {
public:
    ShardFleet(std::unique_ptr<ShardDispatcher> shard, std::vector<Load> loads, std::uint64_t seed)
        : shard_(std::move(shard))
        , loads_(std::move(loads))
        , queues_(loads_.front().waiting.size())
        , seen_(queues_.size())
        , random_(seed)
    {
        for (const auto& load : loads_) {
            const auto weight = OrganisationWeight { load.organisation, load.weight };
            shard_->setWeights({ &weight, 1 });
        }
    }

    auto step() -> void
    {
        auto ends = std::vector<Ends>(queues_.size());
        std::erase_if(running_, [&](Running& run) { return !work(run, ends[run.router]); });
        for (auto router = std::size_t { 0 }; router < queues_.size(); ++router) {
            shard_->apply(Time {}, routerId(router), ends[router]);
            refill(router);
            shard_->apply(Time {}, routerId(router),
                Demand { kShard, !fullDemandSent_, seen_[router], queues_[router].takeChanges(), {} });
        }
        fullDemandSent_ = true;
        for (const auto& [router, grants] : grantsOf(*shard_))
            start(router.value - 1, grants);
    }

    /** Units that the upstreams have served for an organisation, per weight. */
    auto service(std::size_t load) const -> double
    {
        const auto found = served_.find(loads_[load].organisation);
        return found == served_.end() ? 0 : found->second / loads_[load].weight;
    }
    auto started(RouterId router) const -> std::size_t
    {
        return started_.count(router) ? started_.at(router) : 0;
    }
    auto add(const Load& load) -> void { loads_.push_back(load); }
    auto setWaiting(std::size_t load, std::vector<std::size_t> waiting) -> void
    {
        loads_[load].waiting = std::move(waiting);
    }

private:
    struct Running {
        Grant grant;
        std::size_t router {};
        double cost {};
        double worked {};
    };

    static auto routerId(std::size_t router) -> RouterId { return RouterId { router + 1 }; }

    auto refill(std::size_t router) -> void
    {
        for (const auto& load : loads_) {
            auto& waiting = waiting_[{ router, load.organisation, load.requestClass }];
            auto cost = std::uniform_int_distribution(load.minCost, load.maxCost);
            for (; waiting < load.waiting[router]; ++waiting) {
                const auto request = RequestId { ++requests_ };
                costs_[request] = cost(random_);
                queues_[router].push(QueuedRequest {
                    request, load.organisation, load.requestClass, costs_[request] * load.hintFactor, {} });
            }
        }
    }

    auto start(std::size_t router, const Grants& grants) -> void
    {
        CHECK(grants.sequence == seen_[router] + 1);
        seen_[router] = grants.sequence;
        for (const auto& grant : grants.grants) {
            const auto request = queues_[router].pop(grant.organisation, grant.requestClass);
            REQUIRE(request);
            --waiting_[{ router, grant.organisation, grant.requestClass }];
            ++started_[routerId(router)];
            running_.push_back(Running { grant, router, costs_[*request], 0 });
            costs_.erase(*request);
        }
    }

    /** Serves one unit; returns false once the request has ended. */
    auto work(Running& run, Ends& ends) -> bool
    {
        run.worked += 1;
        served_[run.grant.organisation] += 1;
        if (run.worked < run.cost) {
            ends.charges.push_back(Charge { run.grant.id, run.worked });
            return true;
        }
        ends.ends.push_back(
            SlotEnd { run.grant.id, run.grant.organisation, run.grant.upstream, run.worked, false });
        return false;
    }

    std::unique_ptr<ShardDispatcher> shard_;
    std::vector<Load> loads_;
    std::vector<EntryQueue> queues_;
    std::vector<std::uint64_t> seen_;
    std::mt19937_64 random_;
    bool fullDemandSent_ {};
    std::uint64_t requests_ {};
    std::map<RequestId, double> costs_;
    std::map<std::tuple<std::size_t, OrganisationId, RequestClass>, std::size_t> waiting_;
    std::map<RouterId, std::size_t> started_;
    std::map<OrganisationId, double> served_;
    std::vector<Running> running_;
};

/** Measures the widest gap in service between any two of the first `loads` loads over any interval. */
class GapMeter {
public:
    explicit GapMeter(std::size_t loads)
        : loads_(loads)
    {
    }

    auto record(const ShardFleet& fleet) -> void
    {
        for (auto left = std::size_t { 0 }; left < loads_; ++left) {
            for (auto right = std::size_t { 0 }; right < left; ++right) {
                const auto difference = fleet.service(left) - fleet.service(right);
                auto& [lowest, highest] = ranges_[{ left, right }];
                lowest = std::min(lowest, difference);
                highest = std::max(highest, difference);
                widest_ = std::max(widest_, highest - lowest);
            }
        }
    }
    auto widest() const -> double { return widest_; }

private:
    std::size_t loads_ {};
    std::map<std::pair<std::size_t, std::size_t>, std::pair<double, double>> ranges_;
    double widest_ {};
};

} // namespace camphorshunt::test
