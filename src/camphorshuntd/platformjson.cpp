#include "platformjson.h"

#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>

namespace camphorshunt {

namespace json = boost::json;

namespace {

auto parseObject(std::string_view text) -> std::optional<json::object>
{
    auto code = boost::system::error_code {};
    auto value = json::parse(text, code);
    if (code || !value.is_object())
        return std::nullopt;
    return std::move(value.get_object());
}

auto offsetIn(const json::object& object, std::string_view name) -> std::optional<Offset>
{
    const auto* const value = object.if_contains(name);
    const auto* const number = value == nullptr ? nullptr : value->if_int64();
    if (number == nullptr || *number < 0)
        return std::nullopt;
    return Offset { static_cast<std::uint64_t>(*number) };
}

auto textIn(const json::object& object, std::string_view name) -> std::optional<std::string>
{
    const auto* const value = object.if_contains(name);
    if (value == nullptr || !value->is_string())
        return std::nullopt;
    return std::string(value->get_string());
}

auto arrayIn(const json::object& object, std::string_view name) -> const json::array*
{
    const auto* const value = object.if_contains(name);
    return value == nullptr ? nullptr : value->if_array();
}

auto parseRecord(const json::value& value) -> std::optional<LogRecord>
{
    const auto* const object = value.if_object();
    if (object == nullptr)
        return std::nullopt;
    const auto offset = offsetIn(*object, "offset");
    auto body = textIn(*object, "body");
    if (!offset || !body)
        return std::nullopt;
    return LogRecord { *offset, std::move(*body) };
}

auto parseVm(const json::value& value) -> std::optional<VmEntry>
{
    const auto* const object = value.if_object();
    if (object == nullptr)
        return std::nullopt;
    auto name = textIn(*object, "name");
    const auto role = textIn(*object, "role");
    const auto address = textIn(*object, "address");
    const auto state = textIn(*object, "state");
    if (!name || !address || (role != "router" && role != "upstream")
        || (state != "live" && state != "leaving"))
        return std::nullopt;
    const auto endpoint = Endpoint::parse(*address, "address");
    if (endpoint.has_error())
        return std::nullopt;
    return VmEntry { std::move(*name), role == "router" ? VmRole::Router : VmRole::Upstream, endpoint.value(),
        textIn(*object, "failureDomain").value_or(""), state == "leaving" };
}

} // namespace

auto parseAppendAnswer(std::string_view text) -> std::optional<Offset>
{
    const auto object = parseObject(text);
    return object ? offsetIn(*object, "offset") : std::nullopt;
}

auto parseLogRead(std::string_view stream, std::string_view text) -> std::optional<LogRead>
{
    const auto object = parseObject(text);
    if (!object)
        return std::nullopt;
    const auto first = offsetIn(*object, "first");
    const auto end = offsetIn(*object, "end");
    const auto* const records = arrayIn(*object, "records");
    if (!first || !end || records == nullptr)
        return std::nullopt;
    auto read = LogRead { std::string(stream), *first, *end, {} };
    for (const auto& value : *records) {
        auto record = parseRecord(value);
        if (!record || (!read.records.empty() && record->offset <= read.records.back().offset))
            return std::nullopt;
        read.records.push_back(std::move(*record));
    }
    return read;
}

auto parseVmList(std::string_view text) -> std::optional<VmsListed>
{
    const auto object = parseObject(text);
    const auto* const vms = object ? arrayIn(*object, "vms") : nullptr;
    if (vms == nullptr)
        return std::nullopt;
    auto listed = VmsListed {};
    for (const auto& value : *vms) {
        auto vm = parseVm(value);
        if (!vm)
            return std::nullopt;
        listed.vms.push_back(std::move(*vm));
    }
    return listed;
}

} // namespace camphorshunt
