#pragma once

#include <string>
#include <utility>

#include <boost/outcome/result.hpp>

namespace camphorshunt {

/** An error with a message for operators: the affected field and what is allowed. */
struct Error {
    enum class Code {
        Invalid,
        Conflict,
        NotFound,
        Unavailable,
        Malformed,
        Unauthorised,
        Io,
    };

    Code code {};
    std::string field;
    std::string message;

    auto text() const -> std::string { return field.empty() ? message : field + ": " + message; }
};

template <typename T>
using Result = boost::outcome_v2::result<T, Error, boost::outcome_v2::policy::terminate>;

inline auto failure(Error::Code code, std::string field, std::string message) -> Error
{
    return Error { code, std::move(field), std::move(message) };
}

} // namespace camphorshunt
