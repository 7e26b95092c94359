#include "requesttable.h"

namespace camphorshunt {

auto RequestTable::add(ActiveRequest request) -> ActiveRequest&
{
    expiries_.push({ request.deadline, request.id });
    auto& added = requests_[request.id];
    added = std::make_unique<ActiveRequest>(std::move(request));
    return *added;
}

auto RequestTable::find(RequestId id) -> ActiveRequest*
{
    const auto found = requests_.find(id);
    return found == requests_.end() ? nullptr : found->second.get();
}

auto RequestTable::erase(RequestId id) -> void { requests_.erase(id); }

auto RequestTable::takeExpired(Time now) -> std::vector<RequestId>
{
    auto expired = std::vector<RequestId> {};
    while (!expiries_.empty() && expiries_.top().deadline <= now) {
        if (requests_.contains(expiries_.top().request))
            expired.push_back(expiries_.top().request);
        expiries_.pop();
    }
    return expired;
}

} // namespace camphorshunt
