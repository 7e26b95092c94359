#include "processmetrics.h"

#include <fstream>
#include <string>
#include <utility>

#include <sys/resource.h>
#include <unistd.h>

namespace camphorshunt {

namespace {

constexpr auto microsecondsPerSecond = 1e6;

auto counter(std::string name, std::string help, double value) -> prometheus::MetricFamily
{
    auto metric = prometheus::ClientMetric {};
    metric.counter.value = value;
    return { std::move(name), std::move(help), prometheus::MetricType::Counter, { std::move(metric) } };
}

auto gauge(std::string name, std::string help, double value) -> prometheus::MetricFamily
{
    auto metric = prometheus::ClientMetric {};
    metric.gauge.value = value;
    return { std::move(name), std::move(help), prometheus::MetricType::Gauge, { std::move(metric) } };
}

auto depthFamily(const std::vector<std::pair<std::string, std::size_t>>& depths) -> prometheus::MetricFamily
{
    auto family = prometheus::MetricFamily { "camphorshunt_ring_depth", "Items that wait between two threads",
        prometheus::MetricType::Gauge, {} };
    for (const auto& [name, depth] : depths) {
        auto metric = prometheus::ClientMetric {};
        metric.label = { { "ring", name } };
        metric.gauge.value = static_cast<double>(depth);
        family.metric.push_back(std::move(metric));
    }
    return family;
}

auto seconds(const timeval& time) -> double
{
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_usec) / microsecondsPerSecond;
}

auto processorSeconds() -> double
{
    auto usage = rusage {};
    getrusage(RUSAGE_SELF, &usage);
    return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

auto residentBytes() -> double
{
    auto statm = std::ifstream("/proc/self/statm");
    auto totalPages = 0.0;
    auto residentPages = 0.0;
    statm >> totalPages >> residentPages;
    return residentPages * static_cast<double>(sysconf(_SC_PAGESIZE));
}

} // namespace

auto ProcessMetrics::Collect() const -> std::vector<prometheus::MetricFamily>
{
    const auto traffic = sources_.traffic();
    const auto count = [](std::uint64_t value) { return static_cast<double>(value); };
    return {
        counter("camphorshunt_peer_sent_bytes_total", "Bytes sent to other routers", count(traffic.bytesOut)),
        counter("camphorshunt_peer_received_bytes_total", "Bytes received from other routers",
            count(traffic.bytesIn)),
        counter(
            "camphorshunt_peer_sent_frames_total", "Frames sent to other routers", count(traffic.framesOut)),
        counter("camphorshunt_peer_received_frames_total", "Frames received from other routers",
            count(traffic.framesIn)),
        counter("camphorshunt_log_appends_total", "Appends to the log that were begun",
            count(sources_.logAppends())),
        counter("process_cpu_seconds_total", "User and system processor time in seconds", processorSeconds()),
        gauge("process_resident_memory_bytes", "Resident memory in bytes", residentBytes()),
        counter("camphorshunt_spans_dropped_total", "Spans that found the queue or the file full",
            count(sources_.spansDropped())),
        depthFamily(sources_.ringDepths()),
    };
}

} // namespace camphorshunt
