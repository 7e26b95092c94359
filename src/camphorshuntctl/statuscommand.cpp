#include "statuscommand.h"

#include <iomanip>
#include <iostream>

#include <absl/flags/flag.h>
#include <boost/json.hpp>

#include "adminclient.h"

ABSL_FLAG(bool, json, false, "print JSON instead of a table");

namespace camphorshunt::ctl {

namespace {

namespace json = boost::json;

constexpr auto nameWidth = 24;
constexpr auto numberWidth = 10;

auto printRow(std::string_view first, std::initializer_list<std::string> rest) -> void
{
    std::cout << "  " << std::left << std::setw(nameWidth) << first;
    for (const auto& cell : rest)
        std::cout << std::right << std::setw(numberWidth) << cell;
    std::cout << '\n';
}

auto text(const json::value& value) -> std::string
{
    return value.is_string() ? std::string(value.as_string()) : json::serialize(value);
}

auto printServices(const json::object& status) -> void
{
    printRow("service", { "version", "waiting", "running" });
    for (const auto& entry : status.at("services").as_array()) {
        printRow(text(entry.at("service")),
            { text(entry.at("version")), text(entry.at("waiting")), text(entry.at("held")) });
        for (const auto& queue : entry.at("queues").as_array())
            printRow("  " + text(queue.at("organisation")),
                { text(queue.at("class")), text(queue.at("waiting")) });
    }
}

auto printDuties(const json::object& status) -> void
{
    const auto& duties = status.at("duties").as_object();
    if (duties.empty())
        return;
    printRow("duty", { "slots", "used", "waiting", "granted" });
    for (const auto& duty : duties) {
        const auto& shard = duty.value();
        printRow(duty.key(),
            { text(shard.at("slots")), text(shard.at("used")), text(shard.at("waiting")),
                text(shard.at("granted")) });
    }
}

auto printDaemon(const DaemonStatus& daemon) -> void
{
    if (!daemon.status) {
        std::cout << daemon.admin.text() << " does not answer\n";
        return;
    }
    const auto& status = *daemon.status;
    std::cout << text(status.at("name")) << " at " << daemon.admin.text()
              << (status.at("draining").as_bool()       ? " draining"
                         : status.at("ready").as_bool() ? " ready"
                                                        : " not ready")
              << ", requests " << text(status.at("requests")) << '\n';
    printServices(status);
    printDuties(status);
}

} // namespace

auto runStatus(std::span<const std::string> /*arguments*/) -> ExitCode
{
    const auto endpoints = adminEndpoints();
    if (!endpoints)
        return fail(ExitCode::Invalid, endpoints.error().text());
    if (endpoints.value().empty())
        return fail(ExitCode::Invalid, "no daemons are given; use --admin=IP:PORT,IP:PORT");

    auto unreachable = std::size_t {};
    auto all = json::array {};
    for (const auto& endpoint : endpoints.value()) {
        const auto daemon = fetchStatus(endpoint);
        unreachable += daemon.status ? 0 : 1;
        if (absl::GetFlag(FLAGS_json)) {
            all.push_back({ { "admin", endpoint.text() },
                { "status", daemon.status ? json::value(*daemon.status) : json::value(nullptr) } });
        } else {
            printDaemon(daemon);
        }
    }
    if (absl::GetFlag(FLAGS_json))
        std::cout << json::serialize(all) << '\n';
    return unreachable == 0 ? ExitCode::Success : ExitCode::Failed;
}

} // namespace camphorshunt::ctl
