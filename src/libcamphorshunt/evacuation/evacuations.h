#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "camphorshunt/time.h"

namespace camphorshunt {

/** A position in the operators' log: offsets can be compared only within one era of the store. */
struct LogPosition {
    std::uint64_t era = 0;
    /** Offset of the first record that is not included. */
    std::uint64_t end = 0;

    auto operator<=>(const LogPosition&) const = default;
};

/** The evacuated failure domains as of a position in the log. */
struct EvacuationState {
    LogPosition position;
    std::vector<std::string> domains;

    auto operator==(const EvacuationState&) const -> bool = default;
};

/** An operator's record on one failure domain. */
struct EvacuationRecord {
    std::string domain;
    /** False if the evacuation is revoked. */
    bool active = false;
    std::uint64_t offset = 0;
};

/** What a read of the operators' log has found. */
struct EvacuationRead {
    /** The read returned the newest record of each key, and `records` are all evacuations in force. */
    bool isSnapshot = false;
    LogPosition position;
    std::vector<EvacuationRecord> records;
};

/**
 * The failure domains to whose upstreams nothing is to be sent, by the operators' log. The newest position
 * wins, whether it was read here or another router has told of it. Bounded.
 */
class Evacuations {
public:
    static constexpr auto maxDomains = std::size_t { 256 };

    struct Change {
        std::string domain;
        bool active = false;
    };

    /** Applies a read of the store; returns what has changed. */
    auto apply(Time now, const EvacuationRead& read) -> std::vector<Change>;
    /** Applies what another router has told; returns what has changed. */
    auto apply(Time now, const EvacuationState& told) -> std::vector<Change>;

    auto isEvacuated(std::string_view domain) const -> bool { return since_.contains(domain); }
    /** By domain: since when it is evacuated here. */
    auto domains() const -> const std::map<std::string, Time, std::less<>>& { return since_; }
    /** Zero until an evacuation has been seen, so that fleets without any tell each other nothing. */
    auto position() const -> const LogPosition& { return position_; }
    auto state() const -> EvacuationState;

private:
    auto replaceAll(Time now, std::span<const std::string> domains) -> std::vector<Change>;
    auto set(Time now, const std::string& domain, bool active, std::vector<Change>& changes) -> void;

    LogPosition position_;
    std::map<std::string, Time, std::less<>> since_;
};

} // namespace camphorshunt
