#pragma once

#include <string>
#include <string_view>

namespace camphorshunt::ctl {

/** Returns the lines that differ: `- ` before those only in `before`, `+ ` before those only in `after`. */
auto lineDiff(std::string_view before, std::string_view after) -> std::string;

} // namespace camphorshunt::ctl
