#include "httpresponsekind.h"

#include <iterator>

#include <boost/beast/core/string.hpp>

namespace camphorshunt::net {

namespace {

namespace http = boost::beast::http;

constexpr auto firstInterimStatus = 100U;
constexpr auto firstFinalStatus = 200U;
constexpr auto firstInvalidStatus = 600U;
constexpr auto switchingProtocols = 101U;

/** Whether `chunked`, once, is all that was done to the body for its transfer. */
auto isOnlyChunked(const http::response_header<>& head) -> bool
{
    const auto [begin, end] = head.equal_range(http::field::transfer_encoding);
    return begin == end || (std::next(begin) == end && boost::beast::iequals(begin->value(), "chunked"));
}

} // namespace

auto kindOf(const http::response_header<>& head) -> HttpResponseKind
{
    const auto status = head.result_int();
    if (status < firstInterimStatus || status >= firstInvalidStatus || status == switchingProtocols)
        return HttpResponseKind::InvalidStatus;
    if (status < firstFinalStatus)
        return HttpResponseKind::Interim;
    return isOnlyChunked(head) ? HttpResponseKind::Answer : HttpResponseKind::UnknownCoding;
}

} // namespace camphorshunt::net
