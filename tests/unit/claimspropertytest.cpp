#include <array>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include "claimsfixture.h"

using namespace camphorshunt;
using namespace claimsfixture;

namespace {

constexpr std::size_t routerCount = 3;

enum class Kind : unsigned {
    Begin,
    Sync,
    Tick,
    EndAppend,
    AppendLate,
    Read,
    Crash,
    Trim,
    Abandon,
    Send,
    SendSnapshot,
    Advance,
};

struct Step {
    Kind kind {};
    unsigned router {};
    unsigned choice {};
};

auto showValue(const Step& step, std::ostream& out) -> void
{
    out << '{' << static_cast<unsigned>(step.kind) << ',' << step.router << ',' << step.choice << '}';
}

auto anySteps() -> rc::Gen<std::vector<Step>>
{
    const auto kind = rc::gen::weightedElement<Kind>(
        { { 6, Kind::Begin }, { 8, Kind::Sync }, { 3, Kind::Tick }, { 3, Kind::EndAppend },
            { 2, Kind::AppendLate }, { 2, Kind::Read }, { 2, Kind::Crash }, { 2, Kind::Trim },
            { 2, Kind::Abandon }, { 6, Kind::Send }, { 1, Kind::SendSnapshot }, { 2, Kind::Advance } });
    const auto step = rc::gen::construct<Step>(
        kind, rc::gen::inRange(0U, unsigned { routerCount }), rc::gen::inRange(0U, 1000U));
    return rc::gen::scale(10.0, rc::gen::container<std::vector<Step>>(step));
}

/** Runs random steps on few keys and a log with all faults; counts the requests sent for each key. */
class World {
public:
    auto run(const Step& step) -> void
    {
        const auto i = step.router;
        switch (step.kind) {
        case Kind::Begin:
            return beginClaim(i, step.choice);
        case Kind::Sync:
            fleet_.advance(30ms);
            fleet_.tick(i);
            fleet_.endAppend(i, Fate::Lands);
            return fleet_.readAll(i);
        case Kind::Tick:
            fleet_.advance(60ms);
            return fleet_.tick(i);
        case Kind::EndAppend:
            return fleet_.endAppend(i, static_cast<Fate>(step.choice % 4));
        case Kind::AppendLate:
            return fleet_.appendLate(step.choice);
        case Kind::Read:
            return fleet_.read(i, 1 + step.choice % 5);
        case Kind::Crash:
            requests_[i].clear();
            return fleet_.crash(i);
        case Kind::Trim:
            return trim(step.choice);
        case Kind::Abandon:
            return abandon(i, step.choice);
        case Kind::Send:
            return send(i);
        case Kind::SendSnapshot:
            return fleet_.sendSnapshot(i, (i + 1) % routerCount);
        case Kind::Advance:
            return advance(step.choice);
        }
    }

    /** Returns whether a router can claim a new key after the faults have ended. */
    auto canClaim() -> bool
    {
        fleet_.runWithoutFaults();
        fleet_.advance(60s);
        fleet_.runWithoutFaults();
        const auto request = fleet_.beginClaim(0, fleet_.newKey());
        fleet_.runWithoutFaults();
        return request && fleet_.isWon(0, *request);
    }

    auto maxSent() const -> int
    {
        auto max = 0;
        for (const auto& [key, count] : sent_)
            max = std::max(max, count);
        return max;
    }

private:
    auto beginClaim(std::size_t i, unsigned choice) -> void
    {
        if (keys_.empty() || choice % 8 == 0)
            keys_.push_back(fleet_.newKey());
        const auto recent = std::min<std::size_t>(keys_.size(), 2);
        const auto key = keys_[keys_.size() - 1 - choice % recent];
        if (const auto request = fleet_.beginClaim(i, key))
            requests_[i].emplace(*request, key);
    }
    /** Abandons the claim of one request that has not been sent. */
    auto abandon(std::size_t i, unsigned choice) -> void
    {
        if (requests_[i].empty())
            return;
        const auto chosen
            = std::next(requests_[i].begin(), static_cast<std::ptrdiff_t>(choice % requests_[i].size()));
        fleet_.router(i).manager->abandon(fleet_.now, chosen->first);
        fleet_.router(i).won.erase(chosen->first);
        requests_[i].erase(chosen);
    }
    auto send(std::size_t i) -> void
    {
        auto& won = fleet_.router(i).won;
        if (won.empty())
            return;
        const auto request = *won.begin();
        won.erase(won.begin());
        ++sent_[requests_[i].at(request)];
        requests_[i].erase(request);
        if (sent_.size() % 2 == 0)
            fleet_.router(i).manager->settle(fleet_.now, request);
    }
    auto trim(unsigned choice) -> void
    {
        const auto kept = fleet_.log.end() - fleet_.log.first;
        fleet_.log.first += choice % 2 == 0 ? kept : choice % (1 + kept);
    }
    auto advance(unsigned choice) -> void
    {
        const auto lengths = std::array<Duration, 8> { 100ms, 400ms, 1s, 4s, 40s, 40s, 1800s, 4000s };
        fleet_.advance(lengths[choice % lengths.size()]);
    }

    Fleet fleet_ { routerCount };
    std::vector<ClaimKey> keys_;
    std::array<std::map<RequestId, ClaimKey>, routerCount> requests_;
    std::map<ClaimKey, int> sent_;
};

} // namespace

TEST_CASE("No key is sent twice when records are lost, late, repeated or trimmed, or routers restart")
{
    CHECK(rc::check([] {
        auto world = World();
        for (const auto& step : *anySteps()) {
            world.run(step);
            RC_ASSERT(world.maxSent() <= 1);
        }
        RC_ASSERT(world.canClaim());
    }));
}
