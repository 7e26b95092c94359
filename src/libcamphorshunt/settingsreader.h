#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <boost/json/object.hpp>

#include "camphorshunt/endpoint.h"
#include "camphorshunt/result.h"

namespace camphorshunt {

/** The JSON object, with comments, that a file holds; an error's field is `file`. */
auto parseSettingsObject(std::string_view text, std::string_view file) -> Result<boost::json::object>;

/**
 * Reads the fields of one JSON object by name. The first fault found, in this object or one read
 * through it, is kept in the error that all of them share; `finish` adds fields nobody asked for.
 */
class SettingsReader {
public:
    SettingsReader(const boost::json::object& object, std::string path, std::optional<Error>& error);

    auto object(std::string_view name) -> SettingsReader;
    auto optionalObject(std::string_view name) -> SettingsReader;
    /** One reader for each object of a list; none when the field is missing. */
    auto objects(std::string_view name) -> std::vector<SettingsReader>;
    auto text(std::string_view name) -> std::string;
    /** Empty when the field is missing. */
    auto optionalText(std::string_view name) -> std::string;
    auto endpoint(std::string_view name) -> Endpoint;
    /** A list of end points; the field must be there. */
    auto endpoints(std::string_view name) -> std::vector<Endpoint>;
    /** The number as given, or `fallback` when the field is missing. */
    auto number(std::string_view name, std::uint64_t fallback, std::uint64_t minimum, std::uint64_t maximum)
        -> std::uint64_t;
    auto milliseconds(std::string_view name, std::chrono::milliseconds fallback, std::uint64_t minimum,
        std::uint64_t maximum) -> std::chrono::milliseconds;
    auto real(std::string_view name, double fallback, double minimum, double maximum) -> double;
    auto refuse(std::string_view name, std::string message) -> void;
    auto finish() -> void;

private:
    auto value(std::string_view name) -> const boost::json::value*;
    auto pathOf(std::string_view name) const -> std::string;

    const boost::json::object& object_;
    std::string path_;
    std::optional<Error>& error_;
    std::vector<std::string> knownFields_;
};

} // namespace camphorshunt
