#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

#include "peerframe.h"

namespace camphorshunt::router {

/** The record by which routers that start later learn of a prompt part in quarantine. */
struct QuarantineRecord {
    std::string key;
    /** Empty if the part has been released, which removes the record. */
    std::string value;
};

/** The names of its parts, joined by `+`. */
auto partNames(const PeerQuarantine& quarantine) -> std::string;

/** `now`: in Unix time, by which the end of the quarantine is stored. */
auto encodeQuarantineRecord(std::chrono::milliseconds now, const PeerQuarantine& quarantine)
    -> QuarantineRecord;

/** None if the record can't be read. A clock that differs shortens or prolongs a quarantine to its length at
 * most. */
auto decodeQuarantineRecord(std::chrono::milliseconds now, std::string_view key, std::string_view value)
    -> std::optional<PeerQuarantine>;

} // namespace camphorshunt::router
