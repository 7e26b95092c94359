#pragma once

#include <optional>
#include <string_view>

#include "camphorshunt/event.h"

namespace camphorshunt {

/** Parses the offset in the log's answer to an append; nullopt if the answer is malformed. */
auto parseAppendAnswer(std::string_view text) -> std::optional<Offset>;

/** Parses the log's answer to a read; nullopt if it is malformed or its offsets do not increase. */
auto parseLogRead(std::string_view stream, std::string_view text) -> std::optional<LogRead>;

/** Parses the list of VMs; nullopt if the list or any of its entries is malformed. */
auto parseVmList(std::string_view text) -> std::optional<VmsListed>;

} // namespace camphorshunt
