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
        tokens[submitted.key] = submitted.prompt.tokens;
        submit(submitted);
    }

    auto step() -> void
    {
        for (const auto& [key, decision] : placed) {
            if (hung.contains(decision.upstream))
                continue;
            if (cutRouters.contains(key.router)) {
                unreachable.emplace(now + connectTime, key);
                continue;
            }
            auto& until = busyUntil[decision.upstream];
            until = std::max(until, now) + 60ms;
            due.emplace(until, key);
            served[names[key]] += tokens[key];
        }
        placed.clear();
        now += 5ms;
        for (; !due.empty() && due.begin()->first <= now; due.erase(due.begin())) {
            start(due.begin()->second);
            end(due.begin()->second);
        }
        for (; !unreachable.empty() && unreachable.begin()->first <= now;
             unreachable.erase(unreachable.begin()))
            end(unreachable.begin()->second, PlacementEnd::Unreachable);
        placeWaiting();
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
    /** Tokens of requests that have begun, by organisation. */
    std::map<std::string, double> served;
    std::map<PlacementKey, std::string> names;
    std::map<PlacementKey, std::uint32_t> tokens;
    std::map<UpstreamId, Time> busyUntil;
    std::multimap<Time, PlacementKey> due;
    std::multimap<Time, PlacementKey> unreachable;
};

inline constexpr auto stepsOfASecond = 200;

} // namespace camphorshunt::test
