#pragma once

#include <chrono>
#include <cstddef>
#include <string>

#include "camphorshunt/endpoint.h"

namespace camphorshunt::standins {

using Milliseconds = std::chrono::duration<double, std::milli>;

/** What all stand-ins can be told at start, each as the flag of main.cpp says; a role reads its part. */
struct StandInOptions {
    Endpoint listen { "127.0.0.1", 0 };
    /** Names a platform engine in the platform's directory. */
    std::string name = "engine";
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
