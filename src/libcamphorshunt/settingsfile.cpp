#include "settingsfile.h"

#include <fstream>
#include <iterator>

namespace camphorshunt {

auto readFile(const std::filesystem::path& path) -> std::optional<std::string>
{
    auto stream = std::ifstream(path, std::ios::binary);
    if (!stream)
        return std::nullopt;
    return std::string(std::istreambuf_iterator<char>(stream), {});
}

} // namespace camphorshunt
