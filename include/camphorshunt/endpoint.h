#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

#include "camphorshunt/result.h"

namespace camphorshunt {

/** An IP number and a TCP port. */
struct Endpoint {
    std::string address;
    std::uint16_t port {};

    auto operator<=>(const Endpoint&) const = default;

    /** Parses `1.2.3.4:80` or `[::1]:80`; names are refused, `field` is named in the error. */
    static auto parse(std::string_view text, std::string_view field) -> Result<Endpoint>;
    auto text() const -> std::string;
};

} // namespace camphorshunt
