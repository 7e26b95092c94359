#pragma once

#include <cstddef>
#include <vector>

#include "camphorshunt/peermessage.h"

namespace camphorshunt {

/** News of members that still has to be passed on, each item a bounded number of times (SWIM, 4.1). */
class DisseminationQueue {
public:
    /** Replaces older news of the same router. */
    auto push(const MemberUpdate& update) -> void;
    /** Appends at most `count` items to `out`, the least often sent first. */
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
