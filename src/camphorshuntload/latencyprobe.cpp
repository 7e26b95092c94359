#include "latencyprobe.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <utility>

#include "httpclient.h"
#include "measurements.h"

namespace camphorshunt::load {

namespace {

constexpr auto idleTimeout = std::chrono::milliseconds(10'000);
constexpr auto warmUpCalls = std::uint64_t { 50 };
constexpr auto body = R"({"outputTokens":1,"prompt":"Is my boiler safe?"})";
constexpr auto milli = 1000.0;
constexpr auto statusOk = 200;

auto quantile(std::vector<double> times, double fraction) -> double
{
    if (times.empty())
        return 0.0;
    std::ranges::sort(times);
    const auto last = static_cast<double>(times.size() - 1);
    return times[static_cast<std::size_t>(fraction * last)] * milli;
}

/** Makes one call on the client's idle connection; returns its duration in seconds, negative on failure. */
auto timeCall(boost::asio::io_context& context, net::HttpClient& client, net::HttpCallSpec spec) -> double
{
    auto done = false;
    auto handlers = net::HttpCallHandlers {};
    handlers.onHead = [&](const net::HttpResponseHead& head) { done = head.status == statusOk; };
    handlers.onBody = [](std::string_view) {};
    handlers.onEnd = [&](net::HttpCallEnd how) {
        done = done && how == net::HttpCallEnd::Complete;
        context.stop();
    };
    const auto began = Clock::now();
    const auto call = client.start(std::move(spec), std::move(handlers));
    context.run();
    context.restart();
    return done ? std::chrono::duration<double>(Clock::now() - began).count() : -1.0;
}

} // namespace

LatencyProbe::LatencyProbe(const Plan& plan)
    : plan_(plan)
{
}

auto LatencyProbe::run(std::uint64_t calls) -> void
{
    auto context = boost::asio::io_context(1);
    const auto client = net::HttpClient::create(context, 2, idleTimeout);
    const auto& organisation = plan_.organisations.front();
    auto direct = net::HttpCallSpec {};
    direct.endpoint = plan_.upstreams.front().endpoint;
    direct.request = { "POST", "/generate/" + organisation.operation, {}, body };
    auto routed = net::HttpCallSpec {};
    routed.endpoint = plan_.daemons.front().callers;
    routed.request = { "POST", "/v1/" + plan_.service + "/" + organisation.operation,
        { { "Authorization", "Bearer " + organisation.key } }, body };

    for (auto call = std::uint64_t {}; call < calls + warmUpCalls; ++call) {
        direct.request.headers = { { "Camphorshunt-Attempt-Id", "probe-" + std::to_string(call) } };
        const auto directSeconds = timeCall(context, *client, direct);
        const auto routedSeconds = timeCall(context, *client, routed);
        if (directSeconds < 0 || routedSeconds < 0)
            ++failed_;
        else if (call >= warmUpCalls) {
            direct_.push_back(directSeconds);
            routed_.push_back(routedSeconds);
        }
    }
}

auto LatencyProbe::text() const -> std::string
{
    auto text = "calls " + std::to_string(direct_.size()) + ", failed " + std::to_string(failed_) + "\n";
    text += "| | direct ms | routed ms | added ms | ratio |\n| --- | --- | --- | --- | --- |\n";
    for (const auto& [name, fraction] : { std::pair("p50", 0.5), std::pair("p99", 0.99) }) {
        const auto direct = quantile(direct_, fraction);
        const auto routed = quantile(routed_, fraction);
        auto row = std::array<char, 128> {};
        std::snprintf(row.data(), row.size(), "| %s | %.3f | %.3f | %.3f | %.2f |\n", name, direct, routed,
            routed - direct, direct > 0 ? routed / direct : 0.0);
        text += row.data();
    }
    return text;
}

} // namespace camphorshunt::load
