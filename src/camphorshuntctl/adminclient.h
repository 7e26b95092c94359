#pragma once

#include <optional>
#include <string>
#include <vector>

#include <boost/json/object.hpp>

#include "camphorshunt/endpoint.h"
#include "camphorshunt/result.h"

namespace camphorshunt::ctl {

/** Result of a status query to one daemon's administration port. */
struct DaemonStatus {
    Endpoint admin;
    /** The body of `GET /status`; empty when the daemon sent no successful answer with a JSON object. */
    std::optional<boost::json::object> status;
};

/** Parses --admin, in the order given; the error names the flag. */
auto adminEndpoints() -> Result<std::vector<Endpoint>>;

/** Queries a daemon and blocks until it answers, for at most 5 s until the first byte of the answer. */
auto fetchStatus(const Endpoint& admin) -> DaemonStatus;

/** The version of a service's document in force on a daemon; 0 if it has none or did not answer. */
auto versionInForce(const DaemonStatus& daemon, std::string_view service) -> std::uint64_t;

} // namespace camphorshunt::ctl
