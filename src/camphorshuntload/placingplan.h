#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "camphorshunt/fleetconfiguration.h"
#include "camphorshunt/result.h"

#include "lengths.h"
#include "placer.h"
#include "simulatedengine.h"

namespace camphorshunt::load {

/** A part of the prompts of one kind of request that many requests share. */
struct PlannedPart {
    Lengths tokens;
    /** How many different ones there are, drawn evenly. */
    std::uint64_t variants = 1;
    /** Each organisation has variants of its own. */
    bool ownToOrganisation = false;
};

/** Requests that are alike: their share of all, lengths, times, and what they are worth when served. */
struct PlannedKind {
    std::string name;
    double share = 1.0;
    std::chrono::milliseconds goal {};
    std::chrono::milliseconds deadline {};
    double worth = 1.0;
    /** When the first token comes after the goal. */
    double lateWorth = 0.5;
    std::vector<PlannedPart> parts;
    Lengths ownTokens;
    Lengths outputTokens;
    /** Sigma of the logarithm of the hint against the true output; negative sends no hint. */
    double hintSigma = 0.5;
    bool repeatable = false;
};

/** For some time there are more requests, of all organisations or of the largest ones. */
struct PlannedSurge {
    std::chrono::milliseconds from {};
    std::chrono::milliseconds length {};
    double factor = 1.0;
    /** The largest organisations that it concerns; 0 for all. */
    std::uint64_t organisations = 0;
};

/** For some time some engines fail, or, with no engines named, the dispatcher is gone. */
struct PlannedFailure {
    enum class Mode : std::uint8_t { Crash, Hang, Slow, DispatcherKilled };

    std::chrono::milliseconds at {};
    std::chrono::milliseconds length {};
    Mode mode {};
    std::uint64_t engines = 0;
    /** Slow: how many times as long each step takes. */
    double factor = 1.0;
};

/** Who places the requests. */
enum class Dispatching : std::uint8_t {
    /** One placer for all engines. */
    One,
    /** Each router places its own requests, on its part of every engine. */
    EachRouter,
    /** Each engine belongs to one of several placers; a request goes to one by its longest shared part. */
    Groups,
};

/** A simulated run of the placing code on engines, read from JSON with comments. */
struct PlacingPlan {
    std::uint64_t seed = 1;
    std::chrono::milliseconds duration {};
    std::uint64_t engines = 1;
    std::uint64_t routers = 1;
    std::uint64_t failureDomains = 1;
    /** One way, between VMs of the same failure domain and of different ones. */
    double hopMs = 0.1;
    double otherDomainHopMs = 0.5;
    EngineTraits traits;
    EngineTimes times;
    Dispatching dispatching = Dispatching::One;
    std::uint64_t groups = 1;
    /** Until a dispatcher's successor knows what runs. */
    std::chrono::milliseconds takeover { 450 };
    std::uint64_t organisations = 1;
    /** An organisation's share of the requests falls with its rank to this power. */
    double skew = 1.0;
    /** Requests a second, all organisations. */
    double rate = 1.0;
    /** The rate swings by this part of it, over this period. */
    double swing = 0.0;
    std::chrono::milliseconds swingPeriod { 11000 };
    /** Times that a refused caller comes back after its Retry-After. */
    std::uint64_t retries = 1;
    std::vector<PlannedKind> kinds;
    std::vector<PlannedSurge> surges;
    std::vector<PlannedFailure> failures;
    Placer::Settings placer;

    /** Errors name the field, its path and what is allowed. */
    static auto parse(std::string_view text, std::string_view file) -> Result<PlacingPlan>;
    static auto load(const std::string& file) -> Result<PlacingPlan>;
};

} // namespace camphorshunt::load
