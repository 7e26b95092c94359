#pragma once

#include <optional>

#include "camphorshunt/document.h"

namespace camphorshunt {

/** Checks the rules that a schema cannot state: forms of names, uniqueness, relations of fields. */
auto checkDocumentRules(const Document& document) -> std::optional<Error>;

} // namespace camphorshunt
