#include "waits.h"

namespace camphorshunt::load {

auto Waits::count() const -> double
{
    return boost::histogram::algorithm::sum(histogram_, boost::histogram::coverage::all);
}

auto Waits::quantile(double fraction) const -> double
{
    const auto wanted = fraction * count();
    auto passed = 0.0;
    for (const auto& bin : boost::histogram::indexed(histogram_, boost::histogram::coverage::all)) {
        passed += *bin;
        if (passed > 0 && passed >= wanted)
            return bin.bin().upper();
    }
    return 0.0;
}

} // namespace camphorshunt::load
