#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "camphorshunt/endpoint.h"
#include "camphorshunt/result.h"

#include "httpserver.h"

namespace camphorshunt {

/**
 * What one daemon is told by its own host: addresses, failure domain, keys and bounds. How the fleet
 * behaves is in the document alone.
 */
struct Settings {
    std::string name;
    std::string failureDomain;

    Endpoint callersListen;
    net::HttpServerLimits callersLimits;
    Endpoint adminListen;
    Endpoint peersListen;
    std::string sharedKey;

    Endpoint platformLog;
    Endpoint platformVms;

    /** File for the core's events and actions; empty for none. */
    std::string recordFile;
    std::uint64_t recordLimitBytes = std::uint64_t { 64 } * 1024 * 1024;

    /** File for spans, one line of JSON each; empty for none. */
    std::string traceFile;
    std::uint64_t traceLimitBytes = std::uint64_t { 64 } * 1024 * 1024;

    /** Parses JSON with comments; an error's field names `file` and the path. */
    static auto parse(std::string_view text, std::string_view file) -> Result<Settings>;
    static auto load(const std::string& file) -> Result<Settings>;
};

} // namespace camphorshunt
