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
 * The upstreams listed in the platform's directory. After the directory was unreachable, entries that
 * lapsed in the meantime are kept for a while, so that upstreams which are still alive can list themselves
 * again.
 */
class UpstreamDirectory {
public:
    using NamedEntry = std::pair<std::string, std::optional<UpstreamEntry>>;

    /** Applies the newest entry under a name, empty if it was removed. True if `entries` changed. */
    auto applyEntry(Time now, const std::string& name, std::optional<UpstreamEntry> entry) -> bool;
    /**
     * Applies a complete read of the directory; entries that it lacks are removed. True if `entries`
     * changed.
     */
    auto replaceAll(Time now, std::span<const NamedEntry> entries) -> bool;
    /** Records that the directory was read, up to its end. */
    auto recordRead(Time now) -> void;
    /** Records that the directory was replaced by an older copy, which lacks entries of upstreams that live.
     */
    auto recordReturn(Time now) -> void;
    /** Removes lapsed entries that were not listed again in time. True if `entries` changed. */
    auto removeLapsed(Time now) -> bool;

    auto entries() const -> std::vector<UpstreamEntry>;

private:
    auto removeEntry(Time now, const std::string& name) -> bool;

    std::map<std::string, UpstreamEntry> entries_;
    /** Names of entries that lapsed while the directory was unreachable, with the time of their removal. */
    std::map<std::string, Time> lapsed_;
    std::optional<Time> lastReadAt_;
    Time reachableAgainAt_ {};
    bool wasUnreachable_ = false;
};

} // namespace camphorshunt
