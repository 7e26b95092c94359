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

/** A daemon under load. */
struct PlannedDaemon {
    std::string name;
    Endpoint callers;
    Endpoint admin;
};

/** An upstream whose load report is sampled and which can be told to misbehave. */
struct PlannedUpstream {
    std::string name;
    Endpoint endpoint;
};

/** Where an organisation's requests enter: daemons by position, chosen in proportion to the shares. */
struct Entry {
    std::size_t daemon {};
    std::uint64_t share = 1;
};

/** The load that one organisation offers: requests by the second or a number kept in progress. */
struct PlannedOrganisation {
    std::string name;
    std::string key;
    double weight = 1.0;
    /** Open loop, requests each second; 0 for a closed loop. */
    double rate {};
    /** Closed loop, requests in progress. */
    std::uint64_t concurrency {};
    std::string operation;
    /** Class under which waits are counted. */
    std::string waitClass;
    Lengths promptTokens;
    Lengths outputTokens;
    /** Hints are the true lengths times this; 0 sends none. */
    double hintFactor = 1.0;
    Milliseconds from { 0 };
    /** 0 for the end of the run. */
    Milliseconds to { 0 };
    Milliseconds deadline { 0 };
    std::vector<Entry> entries;
};

/** A body that is posted to a stand-in's fault switch. */
struct PlannedFault {
    Milliseconds at { 0 };
    Endpoint endpoint;
    std::string body;
};

/** What a run does, read from JSON with comments. */
struct Plan {
    std::string service;
    std::uint64_t seed {};
    Milliseconds duration { 0 };
    /** Left out of every figure. */
    Milliseconds warmUp { 0 };
    /** Of all upstreams together. */
    std::uint64_t slots {};
    double tokenMs {};
    double promptWeight {};
    std::vector<PlannedDaemon> daemons;
    std::vector<PlannedUpstream> upstreams;
    std::vector<PlannedOrganisation> organisations;
    std::vector<PlannedFault> faults;

    /** Errors name the field, its path and what is allowed. */
    static auto parse(std::string_view text, std::string_view file) -> Result<Plan>;
    static auto load(const std::string& file) -> Result<Plan>;
};

} // namespace camphorshunt::load
