#pragma once

#include <map>
#include <optional>
#include <span>
#include <string>
#include <utility>
#include <vector>

#include "camphorshunt/time.h"
#include "camphorshunt/upstreamentry.h"

namespace camphorshunt {

/**
 * The upstreams that the platform's directory names. After the directory was out of reach, entries that
 * lapsed meanwhile get some time to come back before they are taken for gone.
 */
class UpstreamDirectory {
public:
    using NamedEntry = std::pair<std::string, std::optional<UpstreamEntry>>;

    /** The newest entry under a name; none if it was removed. True if anything changed. */
    auto applyEntry(Time now, const std::string& name, std::optional<UpstreamEntry> entry) -> bool;
    /** All entries there are. */
    auto replaceAll(Time now, std::span<const NamedEntry> entries) -> bool;
    /** The directory has been read, up to the present. */
    auto recordRead(Time now) -> void;
    /** Removes what has not come back in time. */
    auto removeLapsed(Time now) -> bool;

    auto entries() const -> std::vector<UpstreamEntry>;

private:
    auto removeEntry(Time now, const std::string& name) -> bool;

    std::map<std::string, UpstreamEntry> entries_;
    /** Removed while the directory was out of reach, and when that takes effect. */
    std::map<std::string, Time> lapsed_;
    std::optional<Time> lastReadAt_;
    Time reachableAgainAt_ {};
    bool wasUnreachable_ = false;
};

} // namespace camphorshunt
