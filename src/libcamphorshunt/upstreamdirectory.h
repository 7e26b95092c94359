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
    using Named = std::pair<std::string, std::optional<UpstreamEntry>>;

    /** The newest entry under a name; none if it was removed. True if anything changed. */
    auto apply(Time now, const std::string& name, std::optional<UpstreamEntry> entry) -> bool;
    /** All entries there are. */
    auto replaceAll(Time now, std::span<const Named> entries) -> bool;
    /** The directory has been read, up to the present. */
    auto noteRead(Time now) -> void;
    /** Removes what has not come back in time. */
    auto settle(Time now) -> bool;

    auto entries() const -> std::vector<UpstreamEntry>;

private:
    auto remove(Time now, const std::string& name) -> bool;

    std::map<std::string, UpstreamEntry> entries_;
    /** Removed while the directory was out of reach, and when that takes effect. */
    std::map<std::string, Time> lapsed_;
    std::optional<Time> lastRead_;
    Time returnedAt_ {};
    bool hasReturned_ = false;
};

} // namespace camphorshunt
