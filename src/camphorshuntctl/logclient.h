#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "camphorshunt/endpoint.h"
#include "camphorshunt/event.h"
#include "camphorshunt/result.h"

namespace camphorshunt::ctl {

/** The tool's side of the platform's log. */
class LogClient {
public:
    /** The error names the flag when the text is no end point. */
    static auto create(std::string_view endpoint) -> Result<LogClient>;

    /** All that the log still keeps of a stream. */
    auto readAll(std::string_view stream) const -> Result<LogRead>;
    /**
     * Appends a record. Fails with `Unavailable` when the log says that it did not take it, and with
     * `Io` when no answer came, so that the record may have landed.
     */
    auto append(std::string_view stream, std::string record) const -> Result<Offset>;

private:
    explicit LogClient(Endpoint endpoint);
    auto readFrom(std::string_view stream, Offset from) const -> Result<LogRead>;

    Endpoint endpoint_;
};

} // namespace camphorshunt::ctl
