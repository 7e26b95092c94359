#pragma once

#include <optional>
#include <string_view>

#include "camphorshunt/event.h"

namespace camphorshunt {

/** Reads an upstream's answer to `GET /load`; nothing when it is not of the form agreed. */
auto parseLoadReport(UpstreamId upstream, std::string_view text) -> std::optional<LoadReported>;

} // namespace camphorshunt
