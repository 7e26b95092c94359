#include "planfile.h"

#include <fstream>
#include <iterator>

namespace camphorshunt::load {

auto readPlanFile(const std::string& file) -> Result<std::string>
{
    auto stream = std::ifstream(file, std::ios::binary);
    if (!stream)
        return failure(Error::Code::Io, file, "cannot be read");
    return std::string(std::istreambuf_iterator<char>(stream), {});
}

} // namespace camphorshunt::load
