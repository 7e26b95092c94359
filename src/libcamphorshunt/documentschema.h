#pragma once

#include <optional>

#include <boost/json/value.hpp>

#include "camphorshunt/result.h"

namespace camphorshunt {

/** JSON Schema (draft 4) of a document. Error messages quote each `description` as what is allowed. */
extern const char* const documentSchemaText;

/** Validates a document against the schema. The error names the path, the value and what is allowed. */
auto checkDocumentSchema(const boost::json::value& document) -> std::optional<Error>;

/** The value as JSON for an error message: long values are truncated, lists and objects summarised. */
auto shownValue(const boost::json::value& value) -> std::string;

} // namespace camphorshunt
