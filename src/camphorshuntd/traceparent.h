#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "camphorshunt/ids.h"

namespace camphorshunt {

/** True for a W3C Trace Context header of version 00 with non-zero ids. Other headers are not forwarded. */
auto isTraceparent(std::string_view text) -> bool;

/** Header for a request without a valid one: a new trace whose parent is the request's caller span. */
auto makeTraceparent(std::uint64_t high, std::uint64_t low, RequestId request) -> std::string;
/** Returns the header with the parent span replaced; trace and flags stay. */
auto withParent(std::string_view traceparent, std::string_view spanId) -> std::string;

auto traceIdOf(std::string_view traceparent) -> std::string_view;
auto parentIdOf(std::string_view traceparent) -> std::string_view;

/** Names of spans whose ids are computed on more than one thread. */
inline constexpr auto callerSpan = std::string_view("caller");
inline constexpr auto upstreamSpan = std::string_view("upstream");

/** Id of a request's span, 16 hex digits; `number` distinguishes spans of the same name. */
auto spanIdOf(RequestId request, std::string_view name, std::uint32_t number = 0) -> std::string;

} // namespace camphorshunt
