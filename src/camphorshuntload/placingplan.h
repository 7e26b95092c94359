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

/** A prompt part that many requests of one kind share. */
struct PlannedPart {
    Lengths tokens;
    /** Number of different parts; each is equally likely to be drawn. */
    std::uint64_t variants = 1;
    /** If true, the variants are not shared between organisations. */
    bool ownToOrganisation = false;
};

/** A kind of request: its share of all requests, its lengths, its time limits and its value when served. */
struct PlannedKind {
    std::string name;
    double share = 1.0;
    std::chrono::milliseconds goal {};
    std::chrono::milliseconds deadline {};
    double worth = 1.0;
    /** Value of a request whose first token arrives after the goal. */
    double lateWorth = 0.5;
    std::vector<PlannedPart> parts;
    Lengths ownTokens;
    Lengths outputTokens;
    /** Sigma of the logarithm of the ratio of hint to true output length; negative: no hint is sent. */
    double hintSigma = 0.5;
    bool repeatable = false;
};

/** Multiplies the request rate of all organisations, or of the largest ones, for a time. */
struct PlannedSurge {
    std::chrono::milliseconds from {};
    std::chrono::milliseconds length {};
    double factor = 1.0;
    /** Number of organisations affected, the largest first; 0 for all. */
    std::uint64_t organisations = 0;
};

/**
 * Makes the first `engines` engines fail for a time, or kills the dispatcher, whatever `engines` is. `Rest`:
 * they refuse all requests, and say until when. `Release`: they are replaced one after another; each says
 * that it leaves, is listed as leaving later, and ends after the drain time.
 */
struct PlannedFailure {
    enum class Mode : std::uint8_t { Crash, Hang, Slow, DispatcherKilled, Rest, Release };

    std::chrono::milliseconds at {};
    std::chrono::milliseconds length {};
    Mode mode {};
    std::uint64_t engines = 0;
    /** For `Slow`: factor on the duration of each step. */
    double factor = 1.0;
};

/** How the placement of requests is divided between placers. */
enum class Dispatching : std::uint8_t {
    /** One placer for all engines. */
    One,
    /** Each router places its own requests, on its fraction of every engine. */
    EachRouter,
    /**
     * Each engine is assigned to one of several placers; the longest shared prompt part of a request selects
     * the placer.
     */
    Groups,
};

/** Describes a simulation of the placement code on engines; read from JSON with comments. */
struct PlacingPlan {
    std::uint64_t seed = 1;
    std::chrono::milliseconds duration {};
    std::uint64_t engines = 1;
    std::uint64_t routers = 1;
    std::uint64_t failureDomains = 1;
    /** One-way delays within a failure domain and, below, between different ones. */
    double hopMs = 0.1;
    double otherDomainHopMs = 0.5;
    EngineTraits traits;
    EngineTimes times;
    Dispatching dispatching = Dispatching::One;
    std::uint64_t groups = 1;
    /** Whether routers heed what engines say in their answers: that they leave, and until when they rest. */
    bool heedsAnswers = true;
    /** Time until the directory lists an engine as leaving after its answers say so. */
    std::chrono::milliseconds listingDelay { 1200 };
    /** Time from then until the engine ends. */
    std::chrono::milliseconds drainTime { 2000 };
    /** Time from the loss of a dispatcher until its successor has recovered the state of all requests. */
    std::chrono::milliseconds takeover { 450 };
    std::uint64_t organisations = 1;
    /** The share of requests of an organisation is proportional to its rank to the power of -skew. */
    double skew = 1.0;
    /** Requests per second of all organisations together. */
    double rate = 1.0;
    /** Relative amplitude of a sinusoidal variation of the rate with the period `swingPeriod`. */
    double swing = 0.0;
    std::chrono::milliseconds swingPeriod { 11000 };
    /** Maximum number of retries of a refused caller, each after its Retry-After. */
    std::uint64_t retries = 1;
    std::vector<PlannedKind> kinds;
    std::vector<PlannedSurge> surges;
    std::vector<PlannedFailure> failures;
    Placer::Settings placer;

    /** Errors contain the field with its path, and the allowed values. */
    static auto parse(std::string_view text, std::string_view file) -> Result<PlacingPlan>;
    static auto load(const std::string& file) -> Result<PlacingPlan>;
};

} // namespace camphorshunt::load
