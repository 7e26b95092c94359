#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "camphorshunt/ids.h"
#include "camphorshunt/prompt.h"
#include "camphorshunt/time.h"

namespace camphorshunt {

/** A request of the whole fleet: the router that took it, and its number there. */
struct PlacementKey {
    RouterId router;
    std::uint64_t number = 0;

    auto operator<=>(const PlacementKey&) const = default;

    template <typename H> friend auto AbslHashValue(H state, const PlacementKey& key) -> H
    {
        return H::combine(std::move(state), key.router, key.number);
    }
};

/** A request that asks for an engine. Times are those of the placer's own clock. */
struct PlacementRequest {
    PlacementKey key;
    ServiceId service;
    OrganisationId organisation;
    /** Hash of the failure domain of the router that took it. */
    std::uint64_t failureDomain = 0;
    std::uint32_t priority = 0;
    Prompt prompt;
    /** May run a second time. */
    bool repeatable = false;
    /** When its first token is on time. */
    Time goal;
    Time deadline;
    /** Engines that have failed it. */
    std::vector<UpstreamId> avoid;
};

/** A request that a router has sent to an engine already, told to a placer that did not place it. */
struct RunningRequest {
    PlacementRequest request;
    UpstreamId upstream;
    bool started = false;
};

/** How a request ended at the engine that it was placed on. */
enum class PlacementEnd : std::uint8_t {
    Finished,
    /** The caller left, or the router gave up for a reason of its own. */
    Cancelled,
    /** The engine proved that it did not run it: it is full. */
    Full,
    /** Another engine has the address. */
    Misdirected,
    /** No connection could be made. */
    Unreachable,
    /** The answer was cut, or was none. */
    Broken,
    /** No byte came for too long. */
    Silent,
    /** The engine answered with a failure of its own. */
    Failed,
};

/** What a placer knew when it decided, for the log of the router that asked. */
struct PlacementInputs {
    /** Until the engine has read the prompts before this one; of a refusal, the wait that was expected. */
    std::chrono::milliseconds wait {};
    /** Tokens of the prompt that need not be read. */
    std::uint32_t cachedTokens = 0;
    /** Requests that waited at the placer. */
    std::uint32_t waiting = 0;
};

/** A request may be sent to this engine now. */
struct PlacementAccepted {
    PlacementKey key;
    UpstreamId upstream;
    /** Engine that keeps more of the prompt, to copy from. */
    std::optional<UpstreamId> copyFrom;
    PlacementInputs inputs;
};

enum class RefusalReason : std::uint8_t {
    /** Its organisation has more waiting than its share can serve in time. */
    OverShare,
    /** It waited until it could not be on time any more. */
    Waited,
    /** No engine is there to take it. */
    NoUpstream,
};

/** A request is not to be sent anywhere; its caller may come again after `retryAfter`. */
struct PlacementRefused {
    PlacementKey key;
    RefusalReason reason {};
    std::chrono::milliseconds retryAfter {};
    PlacementInputs inputs;
};

using PlacementDecision = std::variant<PlacementAccepted, PlacementRefused>;

auto refusalName(RefusalReason reason) -> std::string_view;
auto placementEndName(PlacementEnd end) -> std::string_view;

} // namespace camphorshunt
