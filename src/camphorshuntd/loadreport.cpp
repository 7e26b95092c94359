#include "loadreport.h"

#include <limits>

#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>

namespace camphorshunt {

namespace {

auto readCount(const boost::json::object& object, std::string_view name, std::uint32_t& count) -> bool
{
    const auto* const value = object.if_contains(name);
    const auto* const number = value == nullptr ? nullptr : value->if_int64();
    if (number == nullptr || *number < 0 || *number > std::numeric_limits<std::uint32_t>::max())
        return false;
    count = static_cast<std::uint32_t>(*number);
    return true;
}

} // namespace

auto parseLoadReport(UpstreamId upstream, std::string_view text) -> std::optional<LoadReported>
{
    auto code = boost::system::error_code {};
    const auto value = boost::json::parse(text, code);
    if (code || !value.is_object())
        return std::nullopt;
    const auto& object = value.get_object();
    auto report = LoadReported { upstream };
    if (!readCount(object, "running", report.running) || !readCount(object, "waiting", report.waiting)
        || !readCount(object, "slots", report.slots))
        return std::nullopt;
    const auto* const leaving = object.if_contains("leaving");
    if (leaving != nullptr && !leaving->is_bool())
        return std::nullopt;
    report.leaving = leaving != nullptr && leaving->get_bool();
    return report;
}

} // namespace camphorshunt
