#pragma once

#include <cstddef>

#include <boost/histogram.hpp>

namespace camphorshunt::load {

/** Histogram of waiting times from 0.1 ms to 1,000 s with a relative error of at most 5%. */
class Waits {
public:
    auto add(double seconds) -> void { histogram_(seconds); }
    auto count() const -> double;
    /** Returns the upper edge of the quantile's bin, in seconds; 0 if no wait was added. */
    auto quantile(double fraction) const -> double;

private:
    using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;

    static constexpr auto bins = 330U;
    static constexpr auto minSeconds = 1e-4;
    static constexpr auto maxSeconds = 1e3;

    decltype(boost::histogram::make_histogram(Axis(1, 1.0, 2.0))) histogram_
        = boost::histogram::make_histogram(Axis(bins, minSeconds, maxSeconds));
};

} // namespace camphorshunt::load
