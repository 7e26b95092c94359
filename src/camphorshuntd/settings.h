#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "camphorshunt/endpoint.h"
#include "camphorshunt/result.h"

#include "httpserver.h"

namespace camphorshunt {

/**
 * Settings of one daemon on its host: addresses, failure domain, keys and limits. The behaviour of the fleet
 * is configured in the document only.
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

    /** File that records the core's events and actions; empty for none. */
    std::string recordFile;
    std::uint64_t recordLimitBytes = std::uint64_t { 64 } * 1024 * 1024;

    /** File for trace spans, one JSON line each; empty for none. */
    std::string traceFile;
    std::uint64_t traceLimitBytes = std::uint64_t { 64 } * 1024 * 1024;

    /** Parses JSON with comments; the field of an error names `file` and the JSON path. */
    static auto parse(std::string_view text, std::string_view file) -> Result<Settings>;
    static auto load(const std::string& file) -> Result<Settings>;
};

} // namespace camphorshunt
