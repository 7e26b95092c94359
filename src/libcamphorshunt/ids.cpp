#include "camphorshunt/ids.h"

#include <xxhash.h>

namespace camphorshunt {

auto hashName(std::string_view name) -> std::uint64_t { return XXH64(name.data(), name.size(), 0); }

} // namespace camphorshunt
