#pragma once

#include <functional>
#include <map>
#include <utility>

#include "camphorshunt/time.h"

namespace camphorshunt::load {

/** Actions in simulated time; those of the same time run in the order in which they were added. */
class EventQueue {
public:
    using Action = std::function<void()>;

    /** Starts at a time that is not the zero time, which stands for "never". */
    auto now() const -> Time { return now_; }
    auto at(Time time, Action action) -> void { actions_.emplace(std::max(time, now_), std::move(action)); }
    auto after(Duration delay, Action action) -> void { at(now_ + delay, std::move(action)); }

    auto runUntil(Time end) -> void
    {
        while (!actions_.empty() && actions_.begin()->first <= end) {
            now_ = actions_.begin()->first;
            const auto action = std::move(actions_.begin()->second);
            actions_.erase(actions_.begin());
            action();
        }
        now_ = end;
    }

private:
    std::multimap<Time, Action> actions_;
    Time now_ { std::chrono::seconds(1000) };
};

} // namespace camphorshunt::load
