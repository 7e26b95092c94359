#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace camphorshunt::net {

struct HttpHeader {
    std::string name;
    std::string value;
};

using HttpHeaders = std::vector<HttpHeader>;

/** Value of the first header with this name, ignoring case; empty if there is none. */
auto headerValue(const HttpHeaders& headers, std::string_view name) -> std::string_view;

struct HttpRequest {
    std::string method;
    std::string target;
    HttpHeaders headers;
    std::string body;

    auto header(std::string_view name) const -> std::string_view { return headerValue(headers, name); }
};

struct HttpResponseHead {
    std::uint16_t status {};
    HttpHeaders headers;

    auto header(std::string_view name) const -> std::string_view { return headerValue(headers, name); }
};

} // namespace camphorshunt::net
