#include "adminclient.h"

#include <absl/flags/flag.h>
#include <boost/json.hpp>

#include "blockingcall.h"

ABSL_FLAG(
    std::vector<std::string>, admin, {}, "administration end points of the daemons, comma-separated IP:PORT");

namespace camphorshunt::ctl {

namespace json = boost::json;

auto adminEndpoints() -> Result<std::vector<Endpoint>>
{
    auto endpoints = std::vector<Endpoint> {};
    for (const auto& text : absl::GetFlag(FLAGS_admin)) {
        auto endpoint = Endpoint::parse(text, "--admin");
        if (!endpoint)
            return endpoint.error();
        endpoints.push_back(std::move(endpoint).value());
    }
    return endpoints;
}

auto fetchStatus(const Endpoint& admin) -> DaemonStatus
{
    auto spec = net::HttpCallSpec {};
    spec.endpoint = admin;
    spec.request = { "GET", "/status", {}, {} };
    spec.firstByteTimeout = std::chrono::milliseconds(5000);
    const auto answer = net::callBlocking(std::move(spec));
    if (!answer.isSuccess())
        return { admin, std::nullopt };

    auto code = boost::system::error_code {};
    const auto parsed = json::parse(answer.body, code);
    if (code || !parsed.is_object())
        return { admin, std::nullopt };
    return { admin, parsed.as_object() };
}

auto versionInForce(const DaemonStatus& daemon, std::string_view service) -> std::uint64_t
{
    if (!daemon.status)
        return 0;
    const auto* const services = daemon.status->if_contains("services");
    if (!services || !services->is_array())
        return 0;
    for (const auto& entry : services->as_array()) {
        if (entry.at("service").as_string() == service)
            return entry.at("version").to_number<std::uint64_t>();
    }
    return 0;
}

} // namespace camphorshunt::ctl
