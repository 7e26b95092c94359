#include "requesttotals.h"

#include <utility>

namespace camphorshunt::router {

auto RequestTotals::record(std::string_view organisation, RequestOutcome outcome) -> void
{
    auto found = totals_.find(organisation);
    if (found == totals_.end())
        found = totals_.emplace(organisation, Counts {}).first;
    ++found->second.at(static_cast<std::size_t>(outcome));
    ++requests_;
}

auto RequestTotals::take() -> Totals
{
    requests_ = 0;
    return std::exchange(totals_, {});
}

} // namespace camphorshunt::router
