#include "sampler.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include <boost/json/parse.hpp>
#include <boost/json/value_to.hpp>

namespace camphorshunt::load {

namespace {

constexpr auto interval = std::chrono::milliseconds(40);
constexpr auto ticksPerStatus = std::uint64_t { 12 };
constexpr auto maxFirstByteWait = std::chrono::milliseconds(1500);

auto metricValue(std::string_view text, std::string_view name) -> double
{
    for (auto at = text.find(name); at != std::string_view::npos; at = text.find(name, at + 1)) {
        const auto end = at + name.size();
        const auto startsLine = at == 0 || text[at - 1] == '\n';
        if (!startsLine || end >= text.size() || text[end] != ' ')
            continue;
        auto value = 0.0;
        std::from_chars(text.data() + end + 1, text.data() + text.size(), value);
        return value;
    }
    return 0.0;
}

auto parseObject(const std::string& text) -> boost::json::object
{
    auto code = boost::system::error_code {};
    auto value = boost::json::parse(text, code);
    return !code && value.is_object() ? value.get_object() : boost::json::object {};
}

auto numberIn(const boost::json::object& object, std::string_view name) -> double
{
    const auto* const found = object.if_contains(name);
    return found != nullptr && found->is_number() ? found->to_number<double>() : 0.0;
}

auto difference(const DaemonCost& after, const DaemonCost& before) -> DaemonCost
{
    return { after.sentBytes - before.sentBytes, after.receivedBytes - before.receivedBytes,
        after.sentFrames - before.sentFrames, after.receivedFrames - before.receivedFrames,
        after.logAppends - before.logAppends, after.processorSeconds - before.processorSeconds,
        after.residentBytes };
}

} // namespace

auto parseDaemonCost(std::string_view metrics) -> DaemonCost
{
    return { metricValue(metrics, "camphorshunt_peer_sent_bytes_total"),
        metricValue(metrics, "camphorshunt_peer_received_bytes_total"),
        metricValue(metrics, "camphorshunt_peer_sent_frames_total"),
        metricValue(metrics, "camphorshunt_peer_received_frames_total"),
        metricValue(metrics, "camphorshunt_log_appends_total"),
        metricValue(metrics, "process_cpu_seconds_total"),
        metricValue(metrics, "process_resident_memory_bytes") };
}

Sampler::Sampler(boost::asio::io_context& context, net::HttpClient& client, const Plan& plan,
    const Measurements& measurements)
    : context_(context)
    , client_(client)
    , plan_(plan)
    , measurements_(measurements)
    , timer_(context)
{
}

auto Sampler::start() -> void
{
    timer_.expires_after(interval);
    scheduleSample();
}

auto Sampler::startMeasuring() -> void
{
    measuringSince_ = Clock::now();
    points_.clear();
    dispatchers_ = {};
    readCosts(before_, [] {});
}

auto Sampler::finish(const std::function<void()>& onDone) -> void
{
    endedAt_ = Clock::now();
    timer_.cancel();
    readCosts(after_, onDone);
}

auto Sampler::costs() const -> std::map<std::string, DaemonCost>
{
    auto costs = Costs {};
    for (const auto& [name, after] : after_) {
        if (const auto before = before_.find(name); before != before_.end())
            costs.emplace(name, difference(after, before->second));
    }
    return costs;
}

auto Sampler::measuredSeconds() const -> double
{
    return std::chrono::duration<double>(endedAt_ - measuringSince_).count();
}

auto Sampler::fetch(const Endpoint& endpoint, std::string_view target, Answer answer) -> void
{
    struct State {
        std::string body;
        bool ok {};
        std::shared_ptr<net::HttpCall> call;
    };
    const auto state = std::make_shared<State>();
    auto spec = net::HttpCallSpec {};
    spec.endpoint = endpoint;
    spec.request = { "GET", std::string(target), {}, {} };
    spec.firstByteTimeout = maxFirstByteWait;
    auto handlers = net::HttpCallHandlers {};
    handlers.onHead = [state](const net::HttpResponseHead& head) { state->ok = head.status == 200; };
    handlers.onBody = [state](std::string_view bytes) { state->body += bytes; };
    handlers.onEnd = [state, answer = std::move(answer)](net::HttpCallEnd how) {
        state->call.reset();
        answer(state->ok && how == net::HttpCallEnd::Complete, state->body);
    };
    state->call = client_.start(std::move(spec), std::move(handlers));
}

auto Sampler::scheduleSample() -> void
{
    timer_.async_wait([this](const boost::system::error_code& code) {
        if (code)
            return;
        readLoads();
        if (++ticks_ % ticksPerStatus == 0)
            readStatus();
        timer_.expires_at(std::max(timer_.expiry() + interval, Clock::now()));
        scheduleSample();
    });
}

auto Sampler::readLoads() -> void
{
    struct Round {
        std::size_t remaining {};
        double busy {};
        double inProgress {};
        bool complete = true;
    };
    const auto round = std::make_shared<Round>();
    round->remaining = plan_.upstreams.size();
    round->inProgress = static_cast<double>(measurements_.inProgress());
    for (const auto& upstream : plan_.upstreams) {
        fetch(upstream.endpoint, "/load", [this, round](bool complete, const std::string& body) {
            round->complete = round->complete && complete;
            round->busy += numberIn(parseObject(body), "running");
            if (--round->remaining > 0 || !round->complete)
                return;
            const auto usable = std::min(static_cast<double>(plan_.slots), round->inProgress);
            points_.push_back({ Clock::now(), round->busy, std::max(0.0, usable - round->busy) });
        });
    }
}

auto Sampler::readStatus() -> void
{
    for (const auto& daemon : plan_.daemons) {
        fetch(daemon.admin, "/status", [this](bool complete, const std::string& body) {
            if (complete)
                handleStatus(body);
        });
    }
}

auto Sampler::handleStatus(const std::string& body) -> void
{
    const auto status = parseObject(body);
    const auto* const duties = status.if_contains("duties");
    if (duties == nullptr || !duties->is_object())
        return;
    for (const auto& duty : duties->get_object()) {
        if (!duty.value().is_object() || !duty.key().starts_with(plan_.service + "/"))
            continue;
        const auto& shard = duty.value().get_object();
        const auto idle = numberIn(shard, "slots") - numberIn(shard, "used");
        dispatchers_.slots += numberIn(shard, "slots");
        dispatchers_.used += numberIn(shard, "used");
        dispatchers_.idleWhileWaiting += std::max(0.0, std::min(idle, numberIn(shard, "waiting")));
        ++dispatchers_.samples;
    }
}

auto Sampler::readCosts(Costs& into, const std::function<void()>& onDone) -> void
{
    const auto remaining = std::make_shared<std::size_t>(plan_.daemons.size());
    for (const auto& daemon : plan_.daemons) {
        fetch(daemon.admin, "/metrics",
            [&into, name = daemon.name, remaining, onDone](bool complete, const std::string& body) {
                if (complete)
                    into.insert_or_assign(name, parseDaemonCost(body));
                if (--*remaining == 0)
                    onDone();
            });
    }
}

} // namespace camphorshunt::load
