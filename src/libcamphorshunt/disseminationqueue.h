#pragma once

#include <cstddef>
#include <vector>

#include "camphorshunt/peermessage.h"

namespace camphorshunt {

/**
 * Member updates to be piggybacked on probes and acks, each a bounded number of times (SWIM, section 4.1).
 */
class DisseminationQueue {
public:
    /** Replaces an older update on the same router. */
    auto push(const MemberUpdate& update) -> void;
    /**
     * Appends at most `count` updates to `out`, the least often sent first. An update is removed after a
     * number of transmissions that grows with the logarithm of `members`.
     */
    auto collect(std::size_t count, std::size_t members, std::vector<MemberUpdate>& out) -> void;
    auto remove(RouterId router) -> void;
    auto size() const -> std::size_t { return items_.size(); }

private:
    struct Item {
        MemberUpdate update;
        std::size_t sent {};
    };

    std::vector<Item> items_;
};

} // namespace camphorshunt
