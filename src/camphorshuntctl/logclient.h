#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "camphorshunt/endpoint.h"
#include "camphorshunt/event.h"
#include "camphorshunt/result.h"

namespace camphorshunt::ctl {

/** Client for the platform's log. All calls block. */
class LogClient {
public:
    /** `endpoint` is the value of --log, IP:PORT; the error for an invalid one names that flag. */
    static auto create(std::string_view endpoint) -> Result<LogClient>;

    /** Reads all records of a stream that the log retains. */
    auto readAll(std::string_view stream) const -> Result<LogRead>;
    /**
     * Appends a record. Fails with `Unavailable` if the request was not sent or the log answered with an
     * error, so that the record was not stored, and with `Io` if there was no usable answer, so that the
     * record may have been stored.
     */
    auto append(std::string_view stream, std::string record) const -> Result<Offset>;

private:
    explicit LogClient(Endpoint endpoint);
    auto readFrom(std::string_view stream, Offset from) const -> Result<LogRead>;

    Endpoint endpoint_;
};

} // namespace camphorshunt::ctl
