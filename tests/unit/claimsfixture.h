#pragma once

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "claimsmanager.h"

/** The claims managers of a few routers on an in-memory log that can lose, delay, repeat and trim records. */
namespace claimsfixture {

using namespace camphorshunt;

inline const auto stream = std::string("claims-0");
inline constexpr auto window = Duration(3600s);
/** Puts the zero of `Time` at 2026-01-01 00:00 UTC. */
inline constexpr auto wallOffset = Duration(1'767'225'600s);

struct TestLog {
    std::vector<std::string> bodies;
    std::size_t first {};

    auto end() const -> std::size_t { return bodies.size(); }
    auto read(std::size_t from, std::size_t maxRecords) const -> LogRead
    {
        auto read = LogRead { stream, Offset { first }, Offset { end() }, {} };
        for (auto i = std::max(from, first); i < end() && read.records.size() < maxRecords; ++i)
            read.records.push_back({ Offset { i }, bodies[i] });
        return read;
    }
};

enum class Fate {
    Lands,
    LandsUnanswered,
    /** Unanswered; the record may be appended later, any number of times. */
    LandsLate,
    Refused,
};

struct TestRouter {
    std::unique_ptr<ClaimsManager> manager;
    std::size_t position {};
    std::optional<AppendLog> append;
    std::set<RequestId> won;
    std::map<RequestId, ClaimRefusal> refused;
};

class Fleet {
public:
    explicit Fleet(std::size_t routers)
    {
        routers_.resize(routers);
        for (auto i = std::size_t { 0 }; i < routers; ++i)
            crash(i);
        runWithoutFaults();
    }

    auto router(std::size_t i) -> TestRouter& { return routers_[i]; }
    auto size() const -> std::size_t { return routers_.size(); }
    auto advance(Duration time) -> void { now += time; }

    auto keyIssued(Duration fromNow) -> ClaimKey
    {
        const auto wall = now.time_since_epoch() + wallOffset + fromNow;
        const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(wall).count();
        return { { 1 }, { 2 }, (static_cast<std::uint64_t>(ms) << 16U) | 0x7000U, ++keys_ };
    }
    auto newKey() -> ClaimKey { return keyIssued(0s); }

    auto beginClaim(std::size_t i, const ClaimKey& key) -> std::optional<RequestId>
    {
        const auto request = RequestId { ++requests_ };
        if (routers_[i].manager->beginClaim(now, request, key, window))
            return std::nullopt;
        return request;
    }
    auto refusal(std::size_t i, const ClaimKey& key) -> std::optional<ClaimRefusal>
    {
        return routers_[i].manager->beginClaim(now, RequestId { ++requests_ }, key, window);
    }
    auto isWon(std::size_t i, RequestId request) const -> bool { return routers_[i].won.contains(request); }

    auto tick(std::size_t i) -> void
    {
        auto actions = Actions();
        routers_[i].manager->tick(now, routers_.size(), actions);
        apply(i, actions);
    }
    auto read(std::size_t i, std::size_t maxRecords) -> void
    {
        auto actions = Actions();
        auto& router = routers_[i];
        const auto read = log.read(router.position, maxRecords);
        router.position = std::max(router.position, log.first) + read.records.size();
        router.manager->handle(now, read, actions);
        apply(i, actions);
    }
    auto readAll(std::size_t i) -> void { read(i, log.end() + 1); }
    auto endAppend(std::size_t i, Fate fate) -> void
    {
        auto& router = routers_[i];
        if (!router.append)
            return;
        const auto append = *std::exchange(router.append, std::nullopt);
        const auto offset = Offset { log.end() };
        if (fate == Fate::Lands || fate == Fate::LandsUnanswered)
            log.bodies.push_back(append.body);
        if (fate == Fate::LandsLate)
            lateRecords.push_back(append.body);
        const auto outcome = fate == Fate::Lands ? AppendOutcome::Landed
            : fate == Fate::Refused              ? AppendOutcome::Refused
                                                 : AppendOutcome::Unknown;
        auto actions = Actions();
        router.manager->handle(now, AppendEnded { append.append, outcome, offset }, actions);
        apply(i, actions);
    }
    auto appendLate(std::size_t i) -> void
    {
        if (!lateRecords.empty())
            log.bodies.push_back(lateRecords[i % lateRecords.size()]);
    }
    /** Restarts a router without its state; its append in flight may be completed later. */
    auto crash(std::size_t i) -> void
    {
        auto& router = routers_[i];
        if (router.append)
            lateRecords.push_back(router.append->body);
        router = TestRouter();
        router.manager = ClaimsManager::create(
            { RouterId { i + 1 }, Incarnation { ++incarnations_ }, wallOffset, 7, 1 });
        tick(i);
    }
    auto trimAll() -> void { log.first = log.end(); }
    auto sendSnapshot(std::size_t from, std::size_t to) -> void
    {
        auto actions = Actions();
        routers_[from].manager->handle(now, RouterId { to + 1 }, ClaimsRequest { stream }, actions);
        for (const auto& action : actions) {
            const auto* const sent = std::get_if<SendPeer>(&action);
            auto replies = Actions();
            if (sent != nullptr)
                routers_[to].manager->handle(now, std::get<ClaimsTransfer>(sent->message), replies);
            apply(to, replies);
        }
    }
    /** Lets all routers append and read without faults for 60 rounds, until nothing changes. */
    auto runWithoutFaults() -> void
    {
        for (auto round = 0; round < 60; ++round) {
            advance(50ms);
            for (auto i = std::size_t { 0 }; i < routers_.size(); ++i) {
                tick(i);
                endAppend(i, Fate::Lands);
                readAll(i);
            }
        }
    }

    TestLog log;
    std::vector<std::string> lateRecords;
    Time now { 1000s };

private:
    auto apply(std::size_t i, const Actions& actions) -> void
    {
        auto& router = routers_[i];
        for (const auto& action : actions) {
            if (const auto* const append = std::get_if<AppendLog>(&action))
                router.append = *append;
            else if (const auto* const tail = std::get_if<TailLog>(&action))
                router.position = tail->from.value;
        }
        for (const auto& decision : router.manager->takeDecisions()) {
            if (decision.won)
                router.won.insert(decision.request);
            else
                router.refused[decision.request] = decision.refusal;
        }
    }

    std::vector<TestRouter> routers_;
    std::uint64_t keys_ {};
    std::uint64_t requests_ {};
    std::uint64_t incarnations_ {};
};

} // namespace claimsfixture
