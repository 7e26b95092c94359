#pragma once

#include <map>
#include <string_view>
#include <vector>

#include "placer.h"

namespace camphorshunt::test {

using namespace std::chrono_literals;

inline constexpr auto service = ServiceId { 77 };

/** A placer with engines of 4 slots each; tests advance its clock `now`. */
struct PlacerFixture {
    explicit PlacerFixture(
        std::size_t engineCount, std::uint64_t memoryTokens = 1000000, const Placer::Settings& settings = {})
        : placer(settings)
    {
        for (auto index = std::size_t { 0 }; index < engineCount; ++index) {
            auto entry = UpstreamEntry {};
            entry.name = "engine-" + std::to_string(index);
            entry.service = service;
            entry.endpoint = { "10.0.0." + std::to_string(index + 1), 80 };
            entry.failureDomain = "zone-a";
            entry.slots = 4;
            entries.push_back(entry);
        }
        placer.setTraits({ 4, memoryTokens, 500.0 }, 0);
        placer.setUpstreams(now, entries);
    }

    auto request(std::string_view organisation, std::uint32_t ownTokens, std::uint64_t session = 0,
        std::uint32_t sharedTokens = 0) -> PlacementRequest
    {
        auto made = PlacementRequest {};
        made.key = { RouterId { 1 }, ++number };
        made.service = service;
        made.organisation = idOf<OrganisationId>(organisation);
        made.failureDomain = hashName("zone-a");
        made.prompt.tokens = sharedTokens + ownTokens;
        made.prompt.outputLimit = 10;
        if (sharedTokens > 0)
            made.prompt.parts.push_back({ session, sharedTokens });
        made.prompt.parts.push_back({ 1000000 + number, ownTokens });
        made.goal = now + 800ms;
        made.deadline = now + 10s;
        return made;
    }

    auto requestOf(RouterId router, std::uint32_t tokens) -> PlacementRequest
    {
        auto made = request("acme", tokens);
        made.key.router = router;
        return made;
    }

    /** Submits a request, lets the placer decide and records the decisions. */
    auto submit(const PlacementRequest& submitted) -> PlacementKey
    {
        organisations[submitted.key] = submitted.organisation;
        placer.submit(now, submitted);
        placeWaiting();
        return submitted.key;
    }

    auto placeWaiting() -> void
    {
        for (const auto& decision : placer.placeWaiting(now)) {
            if (const auto* const accepted = std::get_if<PlacementAccepted>(&decision))
                placed[accepted->key] = *accepted;
            else
                refused[std::get<PlacementRefused>(decision).key] = std::get<PlacementRefused>(decision);
        }
    }

    auto start(const PlacementKey& key) -> void { placer.onStarted(now, key); }
    auto end(const PlacementKey& key, PlacementEnd result = PlacementEnd::Finished) -> void
    {
        placer.onEnded(now, key, result);
    }
    auto upstreamOf(const PlacementKey& key) const -> UpstreamId { return placed.at(key).upstream; }

    Time now { 100s };
    std::uint64_t number = 0;
    std::vector<UpstreamEntry> entries;
    Placer placer;
    std::map<PlacementKey, PlacementAccepted> placed;
    std::map<PlacementKey, PlacementRefused> refused;
    std::map<PlacementKey, OrganisationId> organisations;
};

} // namespace camphorshunt::test
