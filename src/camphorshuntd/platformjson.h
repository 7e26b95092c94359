#pragma once

#include <optional>
#include <string_view>

#include "camphorshunt/event.h"

namespace camphorshunt {

/** The offset in the log's answer to an append. */
auto parseAppendAnswer(std::string_view text) -> std::optional<Offset>;

/** The log's answer to a read; nothing when it is not of the form agreed. */
auto parseLogRead(std::string_view stream, std::string_view text) -> std::optional<LogRead>;

/** The list of VMs; one entry that is not of the form agreed spoils the list. */
auto parseVmList(std::string_view text) -> std::optional<VmsListed>;

} // namespace camphorshunt
