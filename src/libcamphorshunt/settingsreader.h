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

/** Parses one JSON object, with comments. The `field` of an error is `file`, the name of the file. */
auto parseSettingsObject(std::string_view text, std::string_view file) -> Result<boost::json::object>;

/**
 * Reads the fields of one JSON object by name. The reader of an object and the readers of the objects
 * in it share one error, which has the first fault found. A missing or invalid field reads as its
 * fallback or as empty. The JSON object and the error must outlive the reader.
 */
class SettingsReader {
public:
    SettingsReader(const boost::json::object& object, std::string path, std::optional<Error>& error);

    auto object(std::string_view name) -> SettingsReader;
    /** An empty object when the field is missing. */
    auto optionalObject(std::string_view name) -> SettingsReader;
    /** One reader for each object of a list; none when the field is missing. */
    auto objects(std::string_view name) -> std::vector<SettingsReader>;
    /** A required string that is not empty. */
    auto text(std::string_view name) -> std::string;
    /** Empty when the field is missing. */
    auto optionalText(std::string_view name) -> std::string;
    /** A required IP address with a port. */
    auto endpoint(std::string_view name) -> Endpoint;
    /** A required list of endpoints. */
    auto endpoints(std::string_view name) -> std::vector<Endpoint>;
    /** A whole number in the given range, or `fallback` when the field is missing. */
    auto number(std::string_view name, std::uint64_t fallback, std::uint64_t minimum, std::uint64_t maximum)
        -> std::uint64_t;
    auto milliseconds(std::string_view name, std::chrono::milliseconds fallback, std::uint64_t minimum,
        std::uint64_t maximum) -> std::chrono::milliseconds;
    /** A required true or false. */
    auto flag(std::string_view name) -> bool;
    auto real(std::string_view name, double fallback, double minimum, double maximum) -> double;
    /** Records a fault of the field unless one is recorded already. */
    auto refuse(std::string_view name, std::string message) -> void;
    /** Refuses fields that were not read; call it after all reads. */
    auto finish() -> void;

private:
    /** The field, or null if it is missing. Marks the name as known for `finish`. */
    auto value(std::string_view name) -> const boost::json::value*;
    auto pathOf(std::string_view name) const -> std::string;

    const boost::json::object& object_;
    std::string path_;
    std::optional<Error>& error_;
    std::vector<std::string> knownFields_;
};

} // namespace camphorshunt
