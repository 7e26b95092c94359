#include "httpresponsetext.h"

#include <algorithm>
#include <array>
#include <charconv>

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/status.hpp>

namespace camphorshunt::net {

namespace {

constexpr auto hexadecimal = 16;

/** The server sets the framing fields itself. A line break would allow header injection. */
auto isSendable(const HttpHeader& header) -> bool
{
    const auto isFraming = boost::beast::iequals(header.name, "Content-Length")
        || boost::beast::iequals(header.name, "Transfer-Encoding")
        || boost::beast::iequals(header.name, "Connection");
    const auto breaksLine = (header.name + header.value).find_first_of("\r\n") != std::string::npos;
    return !isFraming && !breaksLine;
}

auto appendField(std::string& text, std::string_view name, std::string_view value) -> void
{
    text.append(name).append(": ").append(value).append("\r\n");
}

} // namespace

auto responseHeadText(std::uint16_t status, const HttpHeaders& headers, const HttpBodyFraming& framing)
    -> std::string
{
    const auto reason = boost::beast::http::obsolete_reason(boost::beast::http::int_to_status(status));
    auto text = "HTTP/1.1 " + std::to_string(status) + " ";
    text.append(reason.data(), reason.size()).append("\r\n");
    for (const auto& header : headers) {
        if (isSendable(header))
            appendField(text, header.name, header.value);
    }
    if (framing.contentLength)
        appendField(text, "Content-Length", std::to_string(*framing.contentLength));
    if (framing.chunked)
        appendField(text, "Transfer-Encoding", "chunked");
    appendField(text, "Connection", framing.keepAlive ? "keep-alive" : "close");
    return text.append("\r\n");
}

auto chunkText(std::string_view payload) -> std::string
{
    auto size = std::array<char, sizeof(std::size_t) * 2> {};
    const auto [end, code]
        = std::to_chars(size.data(), size.data() + size.size(), payload.size(), hexadecimal);
    auto text = std::string();
    text.reserve(payload.size() + size.size() + 4);
    return text.append(size.data(), end).append("\r\n").append(payload).append("\r\n");
}

auto statusHasBody(std::uint16_t status) -> bool
{
    constexpr auto firstFinal = 200;
    constexpr auto noContent = 204;
    constexpr auto notModified = 304;
    return status >= firstFinal && status != noContent && status != notModified;
}

} // namespace camphorshunt::net
