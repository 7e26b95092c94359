#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

#include "camphorshunt/result.h"

namespace camphorshunt {

/** An IP address and a TCP port. */
struct Endpoint {
    std::string address;
    std::uint16_t port {};

    auto operator<=>(const Endpoint&) const = default;

    /** Parses `1.2.3.4:80` or `[::1]:80`. Host names are rejected; the error names `field`. */
    static auto parse(std::string_view text, std::string_view field) -> Result<Endpoint>;
    auto text() const -> std::string;
};

} // namespace camphorshunt
