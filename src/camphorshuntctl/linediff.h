#pragma once

#include <string>
#include <string_view>

namespace camphorshunt::ctl {

/** Lines that differ: `-` for those only in `before`, `+` for those only in `after`; empty if equal. */
auto lineDiff(std::string_view before, std::string_view after) -> std::string;

} // namespace camphorshunt::ctl
