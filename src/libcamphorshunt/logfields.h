#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include <boost/json/value.hpp>

#include "camphorshunt/result.h"

namespace camphorshunt {

/** The value as 16 lower-case hex digits. */
auto hexText(std::uint64_t value) -> std::string;
/** Parses exactly 16 hex digits. */
auto parseHex(std::string_view text) -> std::optional<std::uint64_t>;

/**
 * Reads the fields of a JSON object in a log record. The object must outlive the reader. A field that
 * is missing or invalid reads as zero, false or empty; `error` has the first fault.
 */
class LogFields {
public:
    explicit LogFields(const boost::json::value& value);

    auto text(std::string_view field) -> std::string;
    auto number(std::string_view field) -> std::uint64_t;
    auto hex(std::string_view field) -> std::uint64_t;
    auto flag(std::string_view field) -> bool;
    /** Calls `visit` for each item of a list of objects. */
    auto forEach(std::string_view field, const std::function<void(LogFields&)>& visit) -> void;
    /** Calls `visit` for each item of a list of strings. */
    auto forEachText(std::string_view field, const std::function<void(std::string_view)>& visit) -> void;

    /** Records a fault unless one is recorded already. */
    auto fail(std::string_view field, std::string message) -> void;
    auto error() const -> const std::optional<Error>& { return error_; }

private:
    /** The field if it has this kind; otherwise null, and records a fault. */
    auto find(std::string_view field, boost::json::kind kind) -> const boost::json::value*;

    const boost::json::object* object_;
    std::optional<Error> error_;
};

} // namespace camphorshunt
