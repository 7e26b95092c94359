#pragma once

#include <optional>
#include <string>
#include <vector>

#include <boost/json/object.hpp>

#include "camphorshunt/endpoint.h"
#include "camphorshunt/result.h"

namespace camphorshunt::ctl {

/** What one daemon's administration port answered. */
struct DaemonStatus {
    Endpoint admin;
    /** Empty when the daemon did not answer. */
    std::optional<boost::json::object> status;
};

/** The end points of --admin, in order. */
auto adminEndpoints() -> Result<std::vector<Endpoint>>;

auto fetchStatus(const Endpoint& admin) -> DaemonStatus;

/** The version of a service in force on a daemon; 0 when it has none or did not answer. */
auto versionInForce(const DaemonStatus& daemon, std::string_view service) -> std::uint64_t;

} // namespace camphorshunt::ctl
