#include "camphorshunt/callermemory.h"

#include <algorithm>
#include <chrono>
#include <functional>

namespace camphorshunt {

namespace {

/** Shedding goes on until this part of the budget is held, so that it is not due again at once. */
constexpr auto lowWaterNumerator = std::size_t { 7 };
constexpr auto lowWaterDenominator = std::size_t { 8 };
/** Added to the time without progress, so that of connections in progress the largest one is shed. */
constexpr auto minAge = Duration(std::chrono::milliseconds(10));
/** Part of the budget, and bytes, of an answer that one slow caller may have waiting while memory is left. */
constexpr auto outputPart = std::size_t { 16 };
constexpr auto maxOutput = std::size_t { 512 } * 1024;
constexpr auto framingPerBodyByte = std::size_t { 16 };
/** Divisor: the rest is for the program, its state, upstreams and the allocator's overhead. */
constexpr auto memoryPart = std::size_t { 3 };

} // namespace

auto CallerMemory::setHeld(Time now, Connection connection, OrganisationId organisation, std::size_t bytes,
    std::optional<Time> progressAt) -> std::vector<Connection>
{
    const auto found = accounts_.find(connection);
    const auto isUnchanged = found != accounts_.end() && found->second.bytes == bytes
        && found->second.organisation == organisation;
    if (isUnchanged)
        return {};
    release(connection);
    if (bytes == 0)
        return {};
    accounts_.emplace(connection, Account { organisation, bytes, progressAt.value_or(now) });
    byOrganisation_[organisation] += bytes;
    held_ += bytes;
    return held_ > capacity_ ? shed(now) : std::vector<Connection> {};
}

auto CallerMemory::release(Connection connection) -> void
{
    const auto found = accounts_.find(connection);
    if (found == accounts_.end())
        return;
    const auto& account = found->second;
    held_ -= account.bytes;
    const auto group = byOrganisation_.find(account.organisation);
    group->second -= account.bytes;
    if (group->second == 0)
        byOrganisation_.erase(group);
    accounts_.erase(found);
}

auto CallerMemory::largestOrganisation() const -> OrganisationId
{
    const auto bytesOf = [](const auto& group) { return group.second; };
    return std::ranges::max_element(byOrganisation_, {}, bytesOf)->first;
}

auto CallerMemory::shed(Time now) -> std::vector<Connection>
{
    struct Candidate {
        Connection connection;
        double weight = 0;
    };
    const auto lowWater = capacity_ / lowWaterDenominator * lowWaterNumerator;
    auto shed = std::vector<Connection> {};
    while (held_ > lowWater) {
        const auto organisation = largestOrganisation();
        auto candidates = std::vector<Candidate> {};
        for (const auto& [connection, account] : accounts_) {
            if (account.organisation != organisation)
                continue;
            const auto age = std::chrono::duration<double>(now - account.progressAt + minAge).count();
            candidates.push_back({ connection, double(account.bytes) * age });
        }
        std::ranges::sort(candidates, std::greater {}, &Candidate::weight);
        // Another organisation may hold most after some of these.
        const auto target = std::max(lowWater, held_ - (byOrganisation_.at(organisation) + 1) / 2);
        for (const auto& candidate : candidates) {
            if (held_ <= target)
                break;
            release(candidate.connection);
            shed.push_back(candidate.connection);
        }
    }
    return shed;
}

auto CallerMemory::outputAllowance(std::size_t least) const -> std::size_t
{
    if (held_ > capacity_ / 2)
        return least;
    return std::max(least, std::min(capacity_ / outputPart, maxOutput));
}

auto isFramingExcessive(std::size_t framingBytes, std::size_t bodyBytes, std::size_t allowance) -> bool
{
    return framingBytes > allowance + framingPerBodyByte * bodyBytes;
}

auto callerBudgetOf(std::size_t memoryBytes) -> std::size_t { return memoryBytes / memoryPart; }

} // namespace camphorshunt
