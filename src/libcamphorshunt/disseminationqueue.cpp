#include "disseminationqueue.h"

#include <algorithm>
#include <bit>

namespace camphorshunt {

namespace {

/** Each update is sent this many times the binary logarithm of the number of members. */
constexpr auto transmissionFactor = std::size_t { 3 };

auto maxTransmissions(std::size_t members) -> std::size_t
{
    return transmissionFactor * std::bit_width(members + 1);
}

} // namespace

auto DisseminationQueue::push(const MemberUpdate& update) -> void
{
    remove(update.router);
    items_.push_back({ update, 0 });
}

auto DisseminationQueue::collect(std::size_t count, std::size_t members, std::vector<MemberUpdate>& out)
    -> void
{
    std::ranges::stable_sort(items_, {}, &Item::sent);
    const auto taken = std::min(count, items_.size());
    for (auto index = std::size_t { 0 }; index < taken; ++index) {
        out.push_back(items_[index].update);
        ++items_[index].sent;
    }
    std::erase_if(
        items_, [limit = maxTransmissions(members)](const Item& item) { return item.sent >= limit; });
}

auto DisseminationQueue::remove(RouterId router) -> void
{
    std::erase_if(items_, [router](const Item& item) { return item.update.router == router; });
}

} // namespace camphorshunt
