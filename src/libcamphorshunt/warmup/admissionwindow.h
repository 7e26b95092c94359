#pragma once

#include <cstddef>
#include <deque>

#include "camphorshunt/time.h"

namespace camphorshunt {

/** Counts admissions in a sliding window, which ends at any time, unlike one of fixed periods. */
class AdmissionWindow {
public:
    /** Longest window that can be asked for. */
    static constexpr auto longest = Duration(std::chrono::seconds(60));
    /** Limit of admissions that are remembered. */
    static constexpr auto maxRemembered = std::size_t { 4096 };

    auto record(Time now) -> void;
    /** Admissions within `length` before `now`. */
    auto count(Time now, Duration length) const -> std::size_t;

private:
    /** In order of time. */
    std::deque<Time> admitted_;
};

} // namespace camphorshunt
