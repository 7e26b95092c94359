#pragma once

#include <optional>

#include "camphorshunt/document.h"

namespace camphorshunt {

/** Checks what the JSON Schema cannot express: valid names, uniqueness, relations between fields. Empty if
 * valid. */
auto checkDocumentRules(const Document& document) -> std::optional<Error>;

} // namespace camphorshunt
