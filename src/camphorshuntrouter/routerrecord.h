#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "peerframe.h"

namespace camphorshunt::router {

/** Value of a router's record in the store, whose key is its address: share of the processor and failure
 * domain. */
auto encodeRouterRecord(const RouterAddress& router) -> std::string;

/** Values of builds that only wrote the address, and unreadable ones, give an address alone. */
auto decodeRouterRecord(std::string_view endpoint, const std::optional<std::string>& value) -> RouterAddress;

} // namespace camphorshunt::router
