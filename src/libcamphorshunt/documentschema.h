#pragma once

#include <optional>

#include <boost/json/value.hpp>

#include "camphorshunt/result.h"

namespace camphorshunt {

/** JSON Schema (draft 4) of a document; each `description` says what is allowed there. */
extern const char* const documentSchemaText;

/** Checks a document's shape; the error names the path, the value and what is allowed. */
auto checkDocumentSchema(const boost::json::value& document) -> std::optional<Error>;

/** The value as JSON, cut short where it would flood an error line. */
auto shownValue(const boost::json::value& value) -> std::string;

} // namespace camphorshunt
