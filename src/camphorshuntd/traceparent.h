#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "camphorshunt/ids.h"

namespace camphorshunt {

/** True for version 00 of W3C Trace Context with ids that are not zero; others are not passed on. */
auto isTraceparent(std::string_view text) -> bool;

/** The header for a request whose caller brought none: a new trace with the request's span as parent. */
auto makeTraceparent(std::uint64_t high, std::uint64_t low, RequestId request) -> std::string;
/** The same trace and flags under another parent span. */
auto withParent(std::string_view traceparent, std::string_view spanId) -> std::string;

auto traceIdOf(std::string_view traceparent) -> std::string_view;
auto parentIdOf(std::string_view traceparent) -> std::string_view;

/** Names of the spans whose ids more than one thread works out. */
inline constexpr auto callerSpan = std::string_view("caller");
inline constexpr auto upstreamSpan = std::string_view("upstream");

/** Id of a request's span, 16 hex digits; `number` tells spans of one name apart. */
auto spanIdOf(RequestId request, std::string_view name, std::uint32_t number = 0) -> std::string;

} // namespace camphorshunt
