#pragma once

#include <map>
#include <set>
#include <string>

#include "placerfixture.h"

namespace camphorshunt::test {

/** Engines that prefill 50 tokens per millisecond, so one request of 3,000 tokens in 60 ms, with a load that
 * the test generates. */
struct LoadedPlacer : PlacerFixture {
    explicit LoadedPlacer(std::size_t engineCount = 2)
        : PlacerFixture(engineCount)
    {
    }

    auto submitFor(const std::string& name, Duration goal) -> void
    {
        submitFor(name, goal, request(name, 3000));
    }

    auto submitFor(const std::string& name, Duration goal, PlacementRequest submitted) -> void
    {
        submitted.goal = now + goal;
        names[submitted.key] = name;
        requests[submitted.key] = submitted;
        submit(submitted);
    }

    auto step() -> void
    {
        for (const auto& [key, decision] : placed) {
            upstreams[key] = decision.upstream;
            if (hung.contains(decision.upstream))
                continue;
            if (cutRouters.contains(key.router)) {
                failures.emplace(now + connectTime, std::pair { key, PlacementEnd::Unreachable });
                continue;
            }
            if (refusing.contains(decision.upstream) && ++arrivals % refusalPeriod != 0) {
                failures.emplace(now + refusalTime, std::pair { key, PlacementEnd::Full });
                continue;
            }
            auto& until = busyUntil[decision.upstream];
            until = std::max(until, now) + 60ms;
            due.emplace(until, key);
            served[names[key]] += requests.at(key).prompt.tokens;
        }
        placed.clear();
        now += 5ms;
        for (; !due.empty() && due.begin()->first <= now; due.erase(due.begin())) {
            start(due.begin()->second);
            end(due.begin()->second);
        }
        for (; !failures.empty() && failures.begin()->first <= now; failures.erase(failures.begin())) {
            const auto& [key, result] = failures.begin()->second;
            end(key, result);
            submitAgain(key);
        }
        placeWaiting();
    }

    /** Submits a request that has not begun once more, for another engine. */
    auto submitAgain(const PlacementKey& key) -> void
    {
        auto again = requests.at(key);
        again.avoid.push_back(upstreams.at(key));
        if (again.avoid.size() < 4 && again.goal > now)
            submitFor(names.at(key), again.goal - now, again);
    }

    auto bestServed() const -> double
    {
        auto best = 0.0;
        for (const auto& [name, tokens] : served)
            best = std::max(best, tokens);
        return best;
    }

    auto engine(std::size_t index) const -> UpstreamId { return entries.at(index).id(); }

    /** Time after which a connection fails. */
    Duration connectTime = 200ms;
    /** Engines that do not answer. */
    std::set<UpstreamId> hung;
    /** Routers that can open no connection to an engine. */
    std::set<RouterId> cutRouters;
    /** Engines that refuse all but each `refusalPeriod`th request as full. */
    std::set<UpstreamId> refusing;
    std::size_t refusalPeriod = 4;
    Duration refusalTime = 5ms;
    /** Tokens of requests that have begun, by organisation. */
    std::map<std::string, double> served;
    std::map<PlacementKey, std::string> names;
    std::map<PlacementKey, PlacementRequest> requests;
    std::map<PlacementKey, UpstreamId> upstreams;
    std::map<UpstreamId, Time> busyUntil;
    std::multimap<Time, PlacementKey> due;
    std::multimap<Time, std::pair<PlacementKey, PlacementEnd>> failures;
    std::size_t arrivals = 0;
};

inline constexpr auto stepsOfASecond = 200;

} // namespace camphorshunt::test
