#include "platformstore.h"

#include <algorithm>

#include <absl/strings/escaping.h>
#include <boost/endian/conversion.hpp>
#include <boost/json/value_from.hpp>

#include "jsonfields.h"

namespace camphorshunt::standins {

namespace json = boost::json;

namespace {

constexpr auto statusGone = std::uint16_t { 410 };

auto queryText(const Request& request, std::string_view name) -> std::string
{
    const auto target = std::string_view(request.target);
    const auto wanted = std::string(name) + "=";
    for (auto at = target.find('?'); at != std::string_view::npos; at = target.find('&', at + 1)) {
        const auto pair = target.substr(at + 1, target.find('&', at + 1) - at - 1);
        if (pair.starts_with(wanted))
            return std::string(pair.substr(wanted.size()));
    }
    return {};
}

auto bigEndian64(std::uint64_t number) -> std::string
{
    auto bytes = std::string(8, '\0');
    boost::endian::store_big_u64(reinterpret_cast<unsigned char*>(bytes.data()), number);
    return bytes;
}

auto lengthOf(std::string_view bytes) -> std::size_t
{
    return boost::endian::load_big_u32(reinterpret_cast<const unsigned char*>(bytes.data()));
}

auto withLength(std::string_view content) -> std::string
{
    auto bytes = std::string(4, '\0');
    boost::endian::store_big_u32(
        reinterpret_cast<unsigned char*>(bytes.data()), static_cast<std::uint32_t>(content.size()));
    return bytes.append(content);
}

} // namespace

auto PlatformStore::kindOf(const Request& request) const -> RequestKind
{
    return request.method == "POST" ? RequestKind::Work : RequestKind::Read;
}

auto PlatformStore::serve(const Request& request, const Exchange& exchange, const Fault& fault) -> void
{
    const auto path = std::string(pathOf(request));
    ++calls_[path];
    if (path == "/admin/put") {
        put(queryText(request, "topic"), queryText(request, "key"), request.body);
        respondJson(*exchange, statusOk, json::object {});
    } else if (path == "/admin/forget") {
        auto& topic = topics_[queryText(request, "topic")];
        topic.first = topic.end();
        topic.records.clear();
        topic.newestForgotten = topic.newest;
        respondJson(*exchange, statusOk, json::object {});
    } else if (path == "/admin/return") {
        returnFromCopy(queryText(request, "topic"), numberIn(queryText(request, "lost"), 0));
        respondJson(*exchange, statusOk, json::object {});
    } else if (path == "/admin/calls") {
        respondJson(*exchange, statusOk, json::value_from(calls_));
    } else if (path == "/log-append") {
        append(request, exchange, fault);
    } else if (path == "/log-read") {
        read(request, exchange);
    } else if (path == "/log-newest") {
        newest(request, exchange);
    } else {
        respondError(*exchange, statusNotFound, "no such call");
    }
}

auto PlatformStore::applyRecord(Topic& topic, const std::string& record, std::uint64_t offset) -> void
{
    const auto keyBytes = static_cast<unsigned char>(record.front());
    const auto key = record.substr(1, keyBytes);
    const auto value = record.substr(std::size_t { 1 } + keyBytes);
    if (value.empty())
        topic.newest.erase(key);
    else
        topic.newest[key] = { value, offset };
}

auto PlatformStore::returnFromCopy(const std::string& name, std::uint64_t lost) -> void
{
    ++era_;
    auto& topic = topics_[name];
    const auto kept = topic.records.size() - std::min<std::uint64_t>(lost, topic.records.size());
    topic.records.resize(kept);
    topic.newest = topic.newestForgotten;
    for (auto index = std::size_t { 0 }; index < kept; ++index)
        applyRecord(topic, topic.records[index], topic.first + index);
    for (const auto& waiting : waiting_) {
        waiting->answered = true;
        waiting->exchange->abort();
    }
    waiting_.clear();
}

auto PlatformStore::put(const std::string& name, const std::string& key, const std::string& value) -> void
{
    auto& topic = topics_[name];
    const auto offset = topic.end();
    topic.records.push_back(std::string(1, static_cast<char>(key.size())) + key + value);
    applyRecord(topic, topic.records.back(), offset);
    for (const auto& waiting : waiting_) {
        if (waiting->topic == name && !waiting->answered)
            respondRead(*waiting);
    }
    std::erase_if(waiting_, [](const auto& waiting) { return waiting->answered; });
}

auto PlatformStore::append(const Request& request, const Exchange& exchange, const Fault& fault) -> void
{
    const auto topic = queryText(request, "topic");
    const auto offset = topics_[topic].end();
    auto rest = std::string_view(request.body);
    while (rest.size() >= 4) {
        const auto content = rest.substr(4, lengthOf(rest));
        const auto keyBytes
            = content.empty() ? std::size_t { 0 } : static_cast<unsigned char>(content.front());
        if (content.size() < 1 + keyBytes) {
            respondError(*exchange, statusBadRequest, "record is shorter than its key length");
            return;
        }
        put(topic, std::string(content.substr(1, keyBytes)), std::string(content.substr(1 + keyBytes)));
        rest.remove_prefix(4 + content.size());
    }
    if (fault.mode == FaultMode::LostAck)
        exchange->abort();
    else
        respondJson(*exchange, statusOk,
            json::object { { "offset", offset }, { "end", topics_[topic].end() } }, eraHeader());
}

auto PlatformStore::respondRead(Waiting& waiting) -> void
{
    waiting.answered = true;
    const auto& topic = topics_[waiting.topic];
    auto body = bigEndian64(topic.end()) + bigEndian64(topic.first);
    for (auto offset = waiting.from; offset < topic.end(); ++offset)
        body += withLength(topic.records[offset - topic.first]);
    waiting.exchange->respond(statusOk, eraHeader(), body);
}

auto PlatformStore::read(const Request& request, const Exchange& exchange) -> void
{
    const auto waiting = std::make_shared<Waiting>();
    waiting->topic = queryText(request, "topic");
    waiting->from = numberIn(queryText(request, "from"), 0);
    waiting->exchange = exchange;
    const auto& topic = topics_[waiting->topic];
    if (waiting->from < topic.first || waiting->from > topic.end()) {
        respondJson(*exchange, statusGone, json::object { { "first", topic.first } }, eraHeader());
        return;
    }
    const auto wait = numberIn(queryText(request, "wait_ms"), 0);
    if (waiting->from < topic.end() || wait == 0) {
        respondRead(*waiting);
        return;
    }
    waiting_.push_back(waiting);
    exchange->onDisconnect([waiting] { waiting->answered = true; });
    after(Milliseconds(double(wait)), [this, waiting] {
        if (!waiting->answered)
            respondRead(*waiting);
        std::erase(waiting_, waiting);
    });
}

auto PlatformStore::newest(const Request& request, const Exchange& exchange) -> void
{
    // Small pages, so that readers have to fetch more than one.
    constexpr auto pageItems = std::size_t { 3 };
    const auto& topic = topics_[queryText(request, "topic")];
    auto items = json::array {};
    auto next = topic.newest.upper_bound(queryText(request, "after"));
    for (; next != topic.newest.end() && items.size() < pageItems; ++next) {
        const auto& [value, offset] = next->second;
        items.push_back(
            { { "key", next->first }, { "value", absl::Base64Escape(value) }, { "offset", offset } });
    }
    respondJson(*exchange, statusOk,
        json::object { { "items", std::move(items) }, { "has_more", next != topic.newest.end() },
            { "end", topic.end() } },
        eraHeader());
}

} // namespace camphorshunt::standins
