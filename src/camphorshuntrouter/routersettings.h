#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "camphorshunt/endpoint.h"
#include "camphorshunt/result.h"
#include "camphorshunt/retrywindow.h"

namespace camphorshunt::router {

/** What one router is told by its own host. How the fleet behaves is in the configuration alone. */
struct RouterSettings {
    std::string name;
    std::string failureDomain;

    Endpoint callers;
    /** Answers 200 to any request while the router takes requests. */
    Endpoint readiness;
    Endpoint peers;
    Endpoint metrics;
    /** Addresses of some routers' `peers`; they may be down. */
    std::vector<Endpoint> seeds;
    Endpoint store;

    /** Part of a processor core that this VM has. */
    double processorShare = 1;
    /** Descriptors that the process may have open. */
    std::uint64_t descriptors = 1024;
    /** From the request to stop to the end of the process, at the latest. */
    std::chrono::milliseconds stopTime { 8000 };
    RetryWindow::Settings retries;

    /** Parses JSON with comments; an error's field names `file` and the path. */
    static auto parse(std::string_view text, std::string_view file) -> Result<RouterSettings>;
    static auto load(const std::string& file) -> Result<RouterSettings>;
};

} // namespace camphorshunt::router
