#include "httptypes.h"

#include <algorithm>

#include <boost/beast/core/string.hpp>

namespace camphorshunt::net {

auto headerValue(const HttpHeaders& headers, std::string_view name) -> std::string_view
{
    const auto found = std::ranges::find_if(
        headers, [name](const auto& header) { return boost::beast::iequals(header.name, name); });
    return found == headers.end() ? std::string_view {} : std::string_view(found->value);
}

} // namespace camphorshunt::net
