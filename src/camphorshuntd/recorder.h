#pragma once

#include <cstdint>
#include <fstream>
#include <memory>
#include <string>

#include "camphorshunt/action.h"
#include "camphorshunt/core.h"
#include "camphorshunt/event.h"
#include "camphorshunt/result.h"
#include "camphorshunt/time.h"

namespace camphorshunt {

/**
 * Writes the core's events and actions as JSON lines, up to a size limit, so that they can be replayed.
 * Scheduler thread only.
 */
class Recorder {
public:
    static auto create(const std::string& file, std::uint64_t limitBytes, const CoreSettings& settings)
        -> Result<std::unique_ptr<Recorder>>;

    auto write(Time now, const Event& event, const Actions& actions) -> void;

private:
    Recorder(std::ofstream stream, std::uint64_t limitBytes);

    auto writeLine(const std::string& line) -> void;

    std::ofstream stream_;
    std::uint64_t bytesLeft_;
};

} // namespace camphorshunt
