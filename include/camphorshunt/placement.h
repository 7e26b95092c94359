#pragma once

#include <algorithm>
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

/** Identifies a request within the fleet: the router that received it and its number there. */
struct PlacementKey {
    RouterId router;
    std::uint64_t number = 0;

    auto operator<=>(const PlacementKey&) const = default;

    template <typename H> friend auto AbslHashValue(H state, const PlacementKey& key) -> H
    {
        return H::combine(std::move(state), key.router, key.number);
    }
};

/** A request that needs an engine. Times refer to the placer's clock. */
struct PlacementRequest {
    PlacementKey key;
    ServiceId service;
    OrganisationId organisation;
    /** Hash of the failure domain of the router that received the request. */
    std::uint64_t failureDomain = 0;
    std::uint32_t priority = 0;
    Prompt prompt;
    /** The request may be executed more than once. */
    bool repeatable = false;
    /** Time until which the first token is on time. */
    Time goal;
    Time deadline;
    /** Engines at which attempts of this request failed. */
    std::vector<UpstreamId> avoid;

    auto avoids(UpstreamId engine) const -> bool
    {
        return std::find(avoid.begin(), avoid.end(), engine) != avoid.end();
    }
};

/** A request that a router has already sent to an engine, reported to a placer that did not place it. */
struct RunningRequest {
    PlacementRequest request;
    UpstreamId upstream;
    bool started = false;
};

/** How a request ended at the engine on which it was placed. */
enum class PlacementEnd : std::uint8_t {
    Finished,
    /** The caller disconnected, or the router cancelled the request for a reason of its own. */
    Cancelled,
    /** The engine refused the request because it is full, with proof that it did not execute it. */
    Full,
    /** Another engine answered at this address. */
    Misdirected,
    /** The connection could not be opened. */
    Unreachable,
    /** The answer was truncated or missing. */
    Broken,
    /** No byte arrived within the timeout. */
    Silent,
    /** The engine answered with an error. */
    Failed,
};

/** Inputs of a placement decision, for the log of the router that requested it. */
struct PlacementInputs {
    /** Time until the engine has prefilled the preceding prompts; for a refusal, the expected wait. */
    std::chrono::milliseconds wait {};
    /** Tokens of the prompt that need no prefill, whether cached or copied. */
    std::uint32_t cachedTokens = 0;
    /** Requests waiting at the placer. */
    std::uint32_t waiting = 0;
    /** The router that decided. */
    RouterId placer {};
};

/** The request may be sent to this engine now. */
struct PlacementAccepted {
    PlacementKey key;
    UpstreamId upstream;
    /** Engine that holds more cached parts of the prompt, from which to copy them. */
    std::optional<UpstreamId> copyFrom;
    PlacementInputs inputs;
};

enum class RefusalReason : std::uint8_t {
    /** The organisation has more requests waiting than its share can serve in time. */
    OverShare,
    /** The request waited until it could no longer be on time. */
    Waited,
    /** No engine is available for it. */
    NoUpstream,
    /** Engines have crashed under a part of its prompt. */
    Quarantined,
};

/** The request must not be sent to any engine; its caller may retry after `retryAfter`. */
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
