#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "camphorshunt/endpoint.h"
#include "camphorshunt/result.h"

#include "lengths.h"

namespace camphorshunt::load {

using Milliseconds = std::chrono::milliseconds;

/** A daemon that receives load, with its addresses for callers and for administration. */
struct PlannedDaemon {
    std::string name;
    Endpoint callers;
    Endpoint admin;
};

/** An upstream whose load report is sampled; the latency probe calls the first one directly. */
struct PlannedUpstream {
    std::string name;
    Endpoint endpoint;
};

/** A daemon, by its index in the plan, and the relative share of an organisation's requests sent to it. */
struct Entry {
    std::size_t daemon {};
    std::uint64_t share = 1;
};

/** The load of one organisation: an open loop with a rate or a closed loop with a concurrency. */
struct PlannedOrganisation {
    std::string name;
    std::string key;
    double weight = 1.0;
    /** Open loop: requests per second; 0 for a closed loop. */
    double rate {};
    /** Closed loop: number of requests in progress; 0 for an open loop. */
    std::uint64_t concurrency {};
    std::string operation;
    /** Class under which waiting times are recorded and reported. */
    std::string waitClass;
    Lengths promptTokens;
    Lengths outputTokens;
    /** Ratio of the hints to the true lengths; 0: no hints are sent. */
    double hintFactor = 1.0;
    Milliseconds from { 0 };
    /** 0: until the end of the run. */
    Milliseconds to { 0 };
    Milliseconds deadline { 0 };
    std::vector<Entry> entries;
};

/** A body that is posted to `/admin/faults` of a stand-in at a time of the run. */
struct PlannedFault {
    Milliseconds at { 0 };
    Endpoint endpoint;
    std::string body;
};

/** Describes a load run; read from JSON with comments. */
struct Plan {
    std::string service;
    std::uint64_t seed {};
    Milliseconds duration { 0 };
    /** Time at the start that is excluded from all measurements. */
    Milliseconds warmUp { 0 };
    /** Total of all upstreams. */
    std::uint64_t slots {};
    double tokenMs {};
    double promptWeight {};
    std::vector<PlannedDaemon> daemons;
    std::vector<PlannedUpstream> upstreams;
    std::vector<PlannedOrganisation> organisations;
    std::vector<PlannedFault> faults;

    /** Errors contain the field with its path, and the allowed values. */
    static auto parse(std::string_view text, std::string_view file) -> Result<Plan>;
    static auto load(const std::string& file) -> Result<Plan>;
};

} // namespace camphorshunt::load
