#pragma once

#include <optional>
#include <string_view>

#include "camphorshunt/event.h"

namespace camphorshunt {

/** Parses an upstream's answer to `GET /load`; nullopt if it is malformed. */
auto parseLoadReport(UpstreamId upstream, std::string_view text) -> std::optional<LoadReported>;

} // namespace camphorshunt
