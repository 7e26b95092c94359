#include "camphorshunt/endpoint.h"

#include <charconv>

#include <boost/asio/ip/address.hpp>

namespace camphorshunt {

namespace {

auto badEndpoint(std::string_view text, std::string_view field) -> Error
{
    return failure(Error::Code::Invalid, std::string(field),
        "'" + std::string(text) + "' is not an IP number and a port, such as 10.0.0.1:8080 or [::1]:8080");
}

} // namespace

auto Endpoint::parse(std::string_view text, std::string_view field) -> Result<Endpoint>
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos || colon == 0)
        return badEndpoint(text, field);

    auto host = text.substr(0, colon);
    const auto bracketed = host.front() == '[' && host.back() == ']';
    if (bracketed)
        host = host.substr(1, host.size() - 2);

    const auto portText = text.substr(colon + 1);
    auto port = std::uint16_t {};
    const auto* const portEnd = portText.data() + portText.size();
    const auto [end, code] = std::from_chars(portText.data(), portEnd, port);
    if (code != std::errc {} || end != portEnd)
        return badEndpoint(text, field);

    auto parseError = boost::system::error_code {};
    const auto address = boost::asio::ip::make_address(std::string(host), parseError);
    if (parseError || address.is_v6() != bracketed)
        return badEndpoint(text, field);

    return Endpoint { address.to_string(), port };
}

auto Endpoint::text() const -> std::string
{
    const auto isV6 = address.find(':') != std::string::npos;
    return (isV6 ? "[" + address + "]" : address) + ":" + std::to_string(port);
}

} // namespace camphorshunt
