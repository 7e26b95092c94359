#include "requestbook.h"

namespace camphorshunt {

auto RequestBook::add(ActiveRequest request) -> ActiveRequest&
{
    expiries_.push({ request.deadline, request.id });
    auto& slot = requests_[request.id];
    slot = std::make_unique<ActiveRequest>(std::move(request));
    return *slot;
}

auto RequestBook::find(RequestId id) -> ActiveRequest*
{
    const auto found = requests_.find(id);
    return found == requests_.end() ? nullptr : found->second.get();
}

auto RequestBook::erase(RequestId id) -> void { requests_.erase(id); }

auto RequestBook::takeExpired(Time now) -> std::vector<RequestId>
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
