#include "routerrecord.h"

#include <charconv>
#include <cmath>
#include <system_error>

namespace camphorshunt::router {

auto encodeRouterRecord(const RouterAddress& router) -> std::string
{
    return std::to_string(router.processorShare) + ' ' + std::to_string(router.failureDomain);
}

auto decodeRouterRecord(std::string_view endpoint, const std::optional<std::string>& value) -> RouterAddress
{
    auto address = RouterAddress { std::string(endpoint) };
    if (!value)
        return address;
    const auto* const end = value->data() + value->size();
    auto share = 0.0;
    const auto shareEnd = std::from_chars(value->data(), end, share);
    if (shareEnd.ec != std::errc {} || shareEnd.ptr == end || !std::isfinite(share) || share <= 0)
        return address;
    auto domain = std::uint64_t { 0 };
    const auto domainEnd = std::from_chars(shareEnd.ptr + 1, end, domain);
    if (domainEnd.ec != std::errc {} || domainEnd.ptr != end)
        return address;
    address.processorShare = share;
    address.failureDomain = domain;
    return address;
}

} // namespace camphorshunt::router
