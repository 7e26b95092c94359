#include "fleetcommand.h"

#include <algorithm>
#include <iostream>
#include <vector>

#include <absl/flags/declare.h>
#include <absl/flags/flag.h>

#include "blockingcall.h"
#include "fleettable.h"
#include "routerview.h"

ABSL_DECLARE_FLAG(bool, json);

namespace camphorshunt::ctl {

namespace {

/** A router answers from memory; one that takes longer is stopped or cut off. */
constexpr auto answerTimeout = std::chrono::milliseconds(2000);
constexpr auto maxAnswerBytes = std::size_t { 1024 } * 1024;

auto fetchReport(const Endpoint& metrics) -> Result<FleetReport>
{
    auto spec = net::HttpCallSpec {};
    spec.endpoint = metrics;
    spec.request = { "GET", "/fleet", {}, {} };
    spec.firstByteTimeout = answerTimeout;
    spec.totalTimeout = 2 * answerTimeout;
    spec.maxBodyBytes = maxAnswerBytes;
    const auto answer = net::callBlocking(std::move(spec));
    if (!answer.isComplete())
        return failure(Error::Code::Unavailable, {}, "no answer");
    if (!answer.isSuccess()) {
        return failure(
            Error::Code::Unavailable, {}, "answer with status " + std::to_string(answer.head.status));
    }
    return FleetReport::parse(answer.body);
}

} // namespace

auto runFleet(std::span<const std::string> arguments) -> ExitCode
{
    if (arguments.empty())
        return fail(ExitCode::Invalid, "no routers are given; use camphorshuntctl fleet IP:PORT...");
    auto endpoints = std::vector<Endpoint> {};
    for (const auto& argument : arguments) {
        auto endpoint = Endpoint::parse(argument, {});
        if (!endpoint)
            return fail(ExitCode::Invalid, endpoint.error().text());
        endpoints.push_back(std::move(endpoint).value());
    }
    auto views = std::vector<RouterView> {};
    for (const auto& endpoint : endpoints)
        views.push_back({ endpoint, fetchReport(endpoint) });
    std::cout << (absl::GetFlag(FLAGS_json) ? fleetJson(views) + '\n' : fleetTable(views));
    const auto answered
        = std::ranges::all_of(views, [](const RouterView& view) { return view.report.has_value(); });
    return answered ? ExitCode::Success : ExitCode::Failed;
}

} // namespace camphorshunt::ctl
