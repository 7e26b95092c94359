#include "traceparent.h"

#include <algorithm>

#include "callerrequest.h"

namespace camphorshunt {

namespace {

constexpr auto pattern = std::string_view("00-xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx-xxxxxxxxxxxxxxxx-xx");
constexpr auto traceIdBegin = std::size_t { 3 };
constexpr auto traceIdLength = std::size_t { 32 };
constexpr auto parentIdBegin = traceIdBegin + traceIdLength + 1;
constexpr auto parentIdLength = std::size_t { 16 };
constexpr auto sampled = std::string_view("-01");

auto isHex(char character) -> bool
{
    return (character >= '0' && character <= '9') || (character >= 'a' && character <= 'f');
}

auto isZero(std::string_view id) -> bool { return id.find_first_not_of('0') == std::string_view::npos; }

auto hexText(std::uint64_t number) -> std::string { return requestIdText(RequestId { number }); }

} // namespace

auto isTraceparent(std::string_view text) -> bool
{
    const auto fits = std::ranges::equal(text, pattern,
        [](char given, char wanted) { return wanted == 'x' ? isHex(given) : given == wanted; });
    return fits && !isZero(traceIdOf(text)) && !isZero(parentIdOf(text));
}

auto makeTraceparent(std::uint64_t high, std::uint64_t low, RequestId request) -> std::string
{
    // A trace id of all zeros is invalid.
    return "00-" + hexText(high) + hexText(std::max<std::uint64_t>(low, 1)) + '-'
        + spanIdOf(request, callerSpan) + std::string(sampled);
}

auto withParent(std::string_view traceparent, std::string_view spanId) -> std::string
{
    auto text = std::string(traceparent);
    return text.replace(parentIdBegin, parentIdLength, spanId);
}

auto traceIdOf(std::string_view traceparent) -> std::string_view
{
    return traceparent.substr(traceIdBegin, traceIdLength);
}

auto parentIdOf(std::string_view traceparent) -> std::string_view
{
    return traceparent.substr(parentIdBegin, parentIdLength);
}

auto spanIdOf(RequestId request, std::string_view name, std::uint32_t number) -> std::string
{
    return hexText(hashName(requestIdText(request) + '/' + std::string(name) + '/' + std::to_string(number)));
}

} // namespace camphorshunt
