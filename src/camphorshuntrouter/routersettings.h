#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "camphorshunt/endpoint.h"
#include "camphorshunt/result.h"
#include "camphorshunt/retrywindow.h"

namespace camphorshunt::router {

/** Settings of one router from its host. The behaviour of the fleet is set only in the configuration. */
struct RouterSettings {
    std::string name;
    std::string failureDomain;

    Endpoint callers;
    /** Answers 200 to any request while the router accepts requests from callers, otherwise 503. */
    Endpoint readiness;
    Endpoint peers;
    Endpoint metrics;
    /** `peers` addresses of some routers, for the first contact; they may be down. */
    std::vector<Endpoint> seeds;
    Endpoint store;

    /** Processor cores that this VM has; may be a fraction. */
    double processorShare = 1;
    /** Maximum number of open file descriptors of the process. */
    std::uint64_t descriptors = 1024;
    /** Memory of the VM; zero if the settings don't state it. */
    double memoryMegabytes = 0;
    /** Maximum time from the stop signal to the end of the process. */
    std::chrono::milliseconds stopTime { 8000 };
    RetryWindow::Settings retries;
    /** A cold engine can handle its service's rate times `coldOvershoot`, plus `coldSlack`, in any second. */
    double coldOvershoot = 1;
    double coldSlack = 0;

    /** Parses JSON with comments; the field of an error is `file` and the path of the setting. */
    static auto parse(std::string_view text, std::string_view file) -> Result<RouterSettings>;
    static auto load(const std::string& file) -> Result<RouterSettings>;

    /** Returns the value of an environment variable; null if it is not set. */
    using Environment = std::function<const char*(const char*)>;
    /** Sets what the host states in the environment. The field of an error is the variable. */
    auto readEnvironment(const Environment& environment) -> Result<void>;
};

} // namespace camphorshunt::router
