#include "logstandin.h"

#include <algorithm>
#include <utility>

#include "jsonfields.h"

namespace camphorshunt::standins {

namespace json = boost::json;

namespace {

constexpr auto defaultMaxRecords = std::uint64_t { 1000 };
constexpr std::string_view streamsPath = "/streams/";

auto queryNumber(const Request& request, std::string_view name, std::uint64_t fallback) -> std::uint64_t
{
    const auto target = std::string_view(request.target);
    const auto wanted = std::string(name) + "=";
    for (auto at = target.find('?'); at != std::string_view::npos; at = target.find('&', at + 1)) {
        const auto pair = target.substr(at + 1);
        if (pair.starts_with(wanted))
            return numberIn(pair.substr(wanted.size()), fallback);
    }
    return fallback;
}

} // namespace

auto LogStandIn::kindOf(const Request& request) const -> RequestKind
{
    return request.method == "POST" ? RequestKind::Work : RequestKind::Read;
}

auto LogStandIn::serve(const Request& request, const Exchange& exchange, const Fault& fault) -> void
{
    const auto path = pathOf(request);
    if (path == "/admin/trim") {
        trim(request, exchange);
        return;
    }
    if (!path.starts_with(streamsPath) || path.size() == streamsPath.size()) {
        respondError(*exchange, statusNotFound, "no such path");
        return;
    }
    const auto name = std::string(path.substr(streamsPath.size()));
    if (request.method == "POST")
        append(name, request, exchange, fault);
    else
        read(name, request, exchange, fault);
}

auto LogStandIn::append(
    const std::string& name, const Request& request, const Exchange& exchange, const Fault& fault) -> void
{
    if (!tryAcquireAppend()) {
        respondError(*exchange, statusTooMany, "append rate limit exceeded");
        return;
    }
    if (fault.mode == FaultMode::LateAck) {
        exchange->abort();
        after(fault.delay, [this, name, record = request.body] { store(name, record); });
        return;
    }
    const auto offset = store(name, request.body);
    if (fault.mode == FaultMode::LostAck || fault.mode == FaultMode::Cut)
        exchange->abort();
    else
        respondJson(*exchange, statusOk, json::object { { "offset", offset } });
}

auto LogStandIn::store(const std::string& name, const std::string& record) -> std::uint64_t
{
    auto& stream = streams_[name];
    const auto offset = stream.end();
    stream.records.push_back(record);
    if (options().retentionRecords > 0 && stream.records.size() > options().retentionRecords) {
        stream.records.pop_front();
        ++stream.first;
    }
    answerWaiting([&name](const Read& waiting) { return waiting.stream == name; });
    return offset;
}

auto LogStandIn::trim(const Request& request, const Exchange& exchange) -> void
{
    const auto parsed = parseObject(request.body);
    const auto found = parsed ? streams_.find(field(*parsed, "stream", std::string())) : streams_.end();
    if (found == streams_.end()) {
        respondError(*exchange, statusBadRequest, "stream: no such stream");
        return;
    }
    auto& stream = found->second;
    const auto first = field<std::uint64_t>(*parsed, "first", 0);
    while (stream.first < first && !stream.records.empty()) {
        stream.records.pop_front();
        ++stream.first;
    }
    respondJson(*exchange, statusOk, json::object { { "first", stream.first } });
}

auto LogStandIn::read(
    const std::string& name, const Request& request, const Exchange& exchange, const Fault& fault) -> void
{
    auto wanted = Read { name, queryNumber(request, "from", 0),
        queryNumber(request, "max", defaultMaxRecords), exchange, fault, ++reads_ };
    const auto wait = queryNumber(request, "waitMs", 0);
    if (streams_[name].end() > wanted.from || wait == 0) {
        answer(wanted);
        return;
    }
    const auto number = wanted.number;
    exchange->onDisconnect([this, number] {
        std::erase_if(waiting_, [number](const Read& waiting) { return waiting.number == number; });
    });
    waiting_.push_back(std::move(wanted));
    after(std::chrono::milliseconds(wait), [this, number] {
        answerWaiting([number](const Read& waiting) { return waiting.number == number; });
    });
}

auto LogStandIn::answer(const Read& read) -> void
{
    if (read.fault.mode == FaultMode::Cut) {
        read.exchange->abort();
        return;
    }
    const auto& stream = streams_[read.stream];
    auto records = json::array();
    const auto from = std::max(read.from, stream.first);
    for (auto offset = from; offset < stream.end() && records.size() < read.max; ++offset)
        records.push_back(
            json::object { { "offset", offset }, { "body", stream.records[offset - stream.first] } });
    respondJson(*read.exchange, statusOk,
        json::object {
            { "first", stream.first }, { "end", stream.end() }, { "records", std::move(records) } });
}

auto LogStandIn::answerWaiting(const std::function<bool(const Read&)>& isDue) -> void
{
    for (auto& read : std::exchange(waiting_, {})) {
        if (isDue(read))
            answer(read);
        else
            waiting_.push_back(std::move(read));
    }
}

auto LogStandIn::tryAcquireAppend() -> bool
{
    if (options().appendsPerSecond == 0)
        return true;
    const auto now = std::chrono::steady_clock::now();
    if (now - secondStart_ >= std::chrono::seconds(1)) {
        secondStart_ = now;
        appendsThisSecond_ = 0;
    }
    return ++appendsThisSecond_ <= options().appendsPerSecond;
}

} // namespace camphorshunt::standins
