#include "newsqueue.h"

#include <algorithm>
#include <bit>

namespace camphorshunt {

namespace {

/** Each item is sent this many times the logarithm of the number of members. */
constexpr auto retransmitFactor = std::size_t { 3 };

auto retransmits(std::size_t members) -> std::size_t
{
    return retransmitFactor * std::bit_width(members + 1);
}

} // namespace

auto NewsQueue::push(const MemberNews& news) -> void
{
    drop(news.router);
    items_.push_back({ news, 0 });
}

auto NewsQueue::take(std::size_t count, std::size_t members, std::vector<MemberNews>& out) -> void
{
    std::ranges::stable_sort(items_, {}, &Item::sent);
    const auto taken = std::min(count, items_.size());
    for (auto index = std::size_t { 0 }; index < taken; ++index) {
        out.push_back(items_[index].news);
        ++items_[index].sent;
    }
    std::erase_if(items_, [limit = retransmits(members)](const Item& item) { return item.sent >= limit; });
}

auto NewsQueue::drop(RouterId router) -> void
{
    std::erase_if(items_, [router](const Item& item) { return item.news.router == router; });
}

} // namespace camphorshunt
