#include "httpresponsekind.h"

namespace camphorshunt::net {

namespace {

constexpr auto firstInterimStatus = 100U;
constexpr auto firstFinalStatus = 200U;
constexpr auto firstInvalidStatus = 600U;
constexpr auto switchingProtocols = 101U;

} // namespace

auto kindOf(const boost::beast::http::response_header<>& head) -> HttpResponseKind
{
    const auto status = head.result_int();
    if (status < firstInterimStatus || status >= firstInvalidStatus || status == switchingProtocols)
        return HttpResponseKind::InvalidStatus;
    return status < firstFinalStatus ? HttpResponseKind::Interim : HttpResponseKind::Answer;
}

} // namespace camphorshunt::net
