#include "entryqueue.h"

#include <map>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace camphorshunt;

namespace {

auto requestOf(std::uint64_t id, std::uint64_t organisation,
    RequestClass requestClass = RequestClass::Interactive) -> QueuedRequest
{
    return QueuedRequest { RequestId { id }, OrganisationId { organisation }, requestClass,
        static_cast<double>(id), Time {} };
}

} // namespace

TEST_CASE("Requests of one organisation and class leave the queue in order of arrival")
{
    auto queue = EntryQueue {};
    queue.push(requestOf(1, 1, RequestClass::Deferrable));
    queue.push(requestOf(2, 1));
    queue.push(requestOf(3, 1));
    CHECK(queue.pop({ 1 }, RequestClass::Interactive) == RequestId { 2 });
    CHECK(queue.pop({ 1 }, RequestClass::Interactive) == RequestId { 3 });
    CHECK_FALSE(queue.pop({ 1 }, RequestClass::Interactive));
    CHECK(queue.pop({ 1 }, RequestClass::Deferrable) == RequestId { 1 });
    CHECK(queue.empty());
}

TEST_CASE("At the total bound the newest request of the organisation with the longest queue is dropped")
{
    auto queue = EntryQueue {};
    queue.setLimits(3, 4);
    for (const auto id : { 1, 2, 3 })
        queue.push(requestOf(id, 1));
    CHECK(queue.push(requestOf(4, 1)).refused == EntryQueue::Refusal::OrganisationFull);
    queue.push(requestOf(5, 2));
    CHECK(queue.push(requestOf(6, 3)).dropped == RequestId { 3 });
    CHECK(queue.push(requestOf(7, 1)).refused == EntryQueue::Refusal::TotalFull);
    CHECK(queue.push(requestOf(8, 2)).refused == EntryQueue::Refusal::TotalFull);
    CHECK(queue.size() == 4);
}

TEST_CASE("The changes of an entry queue add up to its waiting entries")
{
    CHECK(rc::check([](const std::vector<std::uint16_t>& moves) {
        auto queue = EntryQueue {};
        queue.setLimits(5, 12);
        auto known
            = std::map<std::pair<OrganisationId, RequestClass>, std::pair<std::uint32_t, std::uint32_t>> {};
        auto next = std::uint64_t { 0 };
        for (const auto move : moves) {
            const auto organisation = OrganisationId { move / 4U % 5 };
            const auto requestClass = RequestClass { move / 20 % 2 == 1 };
            if (move % 4 < 2)
                queue.push(requestOf(++next, organisation.value, requestClass));
            else if (move % 4 == 2)
                queue.pop(organisation, requestClass);
            else
                queue.remove(RequestId { next - move / 40 % 8 });
            RC_ASSERT(queue.size() <= 12U);
            if (move % 3 != 0)
                continue;
            for (const auto& entry : queue.takeChanges())
                known[{ entry.organisation, entry.requestClass }] = { entry.waiting, entry.headUnits };
            std::erase_if(known, [](const auto& entry) { return entry.second.first == 0; });
            auto all = decltype(known) {};
            for (const auto& entry : queue.waitingEntries())
                all[{ entry.organisation, entry.requestClass }] = { entry.waiting, entry.headUnits };
            RC_ASSERT(known == all);
        }
    }));
}
