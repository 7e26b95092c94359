#pragma once

#include <chrono>
#include <cstddef>
#include <string>

#include "camphorshunt/endpoint.h"

namespace camphorshunt::standins {

using Milliseconds = std::chrono::duration<double, std::milli>;

/** Options of all stand-ins, as described by the flags in main.cpp; a role reads only its own. */
struct StandInOptions {
    Endpoint listen { "127.0.0.1", 0 };
    /** Name of a platform engine in the platform's directory. */
    std::string name = "engine";
    /** Id of a prompt part under which a platform engine ends when it begins to answer; empty for none. */
    std::string crashPart;
    std::size_t slots = 4;
    Milliseconds tokenTime { 1 };
    Milliseconds promptTime { 10 };
    Milliseconds loadLag { 0 };
    Milliseconds resumeWindow { 10000 };
    std::size_t cachedPrefixes = 16;
    bool checkFencing = false;
    Milliseconds callTime { 1 };
    std::size_t retentionRecords = 0;
    std::size_t appendsPerSecond = 0;
    Milliseconds listLag { 0 };
};

} // namespace camphorshunt::standins
