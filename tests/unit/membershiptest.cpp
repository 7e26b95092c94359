#include "membership.h"

#include <algorithm>
#include <deque>
#include <iostream>
#include <map>
#include <set>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include "framecodec.h"

using namespace camphorshunt;

namespace {

auto nameOf(std::size_t index) -> std::string { return "r" + std::to_string(index); }

auto routerOf(std::size_t index) -> RouterId { return idOf<RouterId>(nameOf(index)); }

/**
 * Memberships of several routers. The clock is simulated in steps of 20 ms; messages arrive within the step.
 */
class Group {
public:
    explicit Group(std::size_t size, std::uint64_t seed = 1)
        : seed_(seed)
    {
        for (auto index = std::size_t { 0 }; index < size; ++index)
            start(index, 1);
        setListed(size);
        for (auto index = std::size_t { 0 }; index < size; ++index)
            connectAll(index);
    }

    auto start(std::size_t index, std::uint64_t incarnation) -> void
    {
        auto settings = MembershipSettings {};
        settings.self = routerOf(index);
        settings.incarnation = { incarnation };
        settings.name = nameOf(index);
        settings.seed = seed_ * 1000 + index;
        incarnations_[settings.self] = settings.incarnation;
        routers_[settings.self] = Membership::create(settings);
        paused_.erase(settings.self);
    }

    auto setListed(std::size_t size) -> void
    {
        auto listed = VmsListed {};
        for (auto index = std::size_t { 0 }; index < size; ++index)
            listed.vms.push_back({ nameOf(index), VmRole::Router, { "127.0.0.1", 1 }, "a", false });
        for (auto& [router, membership] : routers_)
            handle(router, listed);
    }

    auto connect(RouterId left, RouterId right) -> void
    {
        handle(left, PeerConnected { right, incarnations_[right] });
        handle(right, PeerConnected { left, incarnations_[left] });
    }

    auto connectAll(std::size_t index) -> void
    {
        for (auto& [router, membership] : routers_) {
            if (router != routerOf(index) && !paused_.contains(router))
                connect(router, routerOf(index));
        }
    }

    /** Simulates a paused process: loses all messages from and to the router, and stops its ticks. */
    auto pause(std::size_t index) -> void { paused_.insert(routerOf(index)); }
    auto resume(std::size_t index) -> void { paused_.erase(routerOf(index)); }
    auto breakLink(std::size_t left, std::size_t right) -> void
    {
        brokenLinks_.insert({ routerOf(left), routerOf(right) });
        brokenLinks_.insert({ routerOf(right), routerOf(left) });
    }
    auto disconnect(std::size_t index) -> void
    {
        for (auto& [router, membership] : routers_) {
            if (router != routerOf(index) && !paused_.contains(router))
                handle(router, PeerDisconnected { routerOf(index) });
        }
    }

    auto run(Duration time) -> void
    {
        for (const auto end = now_ + time; now_ < end;) {
            now_ += 20ms;
            for (auto& entry : routers_) {
                if (!paused_.contains(entry.first))
                    runAndSend(entry.first, [&](Actions& actions) { entry.second->tick(now_, actions); });
            }
            deliver();
        }
    }

    /** Time until all routers that are not silent agree on this number of live routers; 60 s at most. */
    auto timeUntilLive(std::size_t count) -> Duration
    {
        const auto begin = now_;
        while (now_ - begin < 60s && !agreeOnLive(count))
            run(20ms);
        return now_ - begin;
    }

    auto agreeOnLive(std::size_t count) -> bool
    {
        return std::ranges::all_of(routers_, [&](const auto& entry) {
            return paused_.contains(entry.first) || entry.second->liveRouters().size() == count;
        });
    }

    auto of(std::size_t index) -> Membership& { return *routers_.at(routerOf(index)); }
    template <typename EventType> auto handle(RouterId router, const EventType& event) -> void
    {
        runAndSend(router, [&](Actions& actions) { routers_.at(router)->handle(now_, event, actions); });
        deliver();
    }
    auto drain(std::size_t index) -> void
    {
        runAndSend(routerOf(index), [&](Actions& actions) { of(index).drain(now_, actions); });
        deliver();
    }

    Actions otherActions;
    std::size_t messages {};
    std::size_t bytes {};
    bool countBytes {};

private:
    struct Envelope {
        RouterId from;
        RouterId to;
        PeerMessage message;
    };

    template <typename Function> auto runAndSend(RouterId router, Function function) -> void
    {
        auto actions = Actions {};
        function(actions);
        for (auto& action : actions) {
            if (auto* const send = std::get_if<SendPeer>(&action))
                inFlight_.push_back({ router, send->router, std::move(send->message) });
            else
                otherActions.push_back(std::move(action));
        }
    }

    auto deliver() -> void
    {
        while (!inFlight_.empty()) {
            const auto envelope = std::move(inFlight_.front());
            inFlight_.pop_front();
            const auto isDelivered = routers_.contains(envelope.to) && !paused_.contains(envelope.from)
                && !paused_.contains(envelope.to) && !brokenLinks_.contains({ envelope.from, envelope.to });
            if (!isDelivered)
                continue;
            ++messages;
            bytes += countBytes ? 4 + encodeMessage(envelope.message).size() : 0;
            runAndSend(envelope.to, [&](Actions& actions) {
                auto& receiver = *routers_.at(envelope.to);
                if (const auto* const probe = std::get_if<Probe>(&envelope.message))
                    receiver.handle(now_, envelope.from, *probe, actions);
                else
                    receiver.handle(now_, envelope.from, std::get<ProbeAck>(envelope.message), actions);
            });
        }
    }

    std::uint64_t seed_;
    Time now_ {};
    std::map<RouterId, std::unique_ptr<Membership>> routers_;
    std::map<RouterId, Incarnation> incarnations_;
    std::set<RouterId> paused_;
    std::set<std::pair<RouterId, RouterId>> brokenLinks_;
    std::deque<Envelope> inFlight_;
};

} // namespace

TEST_CASE("A router without peers owns every duty")
{
    auto group = Group(1);
    CHECK(group.of(0).liveRouters().size() == 1);
    CHECK(group.of(0).owner({ { 5 }, 0 }) == routerOf(0));
    CHECK(group.of(0).expectedCount() == 1);
}

TEST_CASE("Connected routers agree on who is live and who owns a duty")
{
    auto group = Group(8);
    group.run(5s);
    CHECK(group.agreeOnLive(8));
    CHECK(group.of(0).expectedCount() == 8);
    for (auto shard = std::uint32_t { 0 }; shard < 20; ++shard)
        CHECK(group.of(0).owner({ { 5 }, shard }) == group.of(7).owner({ { 5 }, shard }));
    for (const auto& change : group.of(0).takeChanges())
        CHECK(change.state == MemberState::Alive);
}

TEST_CASE("A silent router of eight is declared dead by all others within one second")
{
    auto longest = Duration {};
    for (auto seed = std::uint64_t { 1 }; seed <= 50; ++seed) {
        auto group = Group(8, seed);
        group.run(3s + Duration(7ms) * seed);
        group.pause(3);
        longest = std::max(longest, group.timeUntilLive(7));
    }
    INFO("longest in microseconds: " << longest.count());
    CHECK(longest < 1s);
}

TEST_CASE("A silent router whose connections are lost is declared dead within 500 ms")
{
    auto group = Group(8);
    group.run(3s);
    group.pause(3);
    group.disconnect(3);
    CHECK(group.timeUntilLive(7) <= 500ms);
}

TEST_CASE("A broken link between two routers does not make either of them dead")
{
    auto group = Group(5);
    group.run(2s);
    group.breakLink(0, 1);
    group.handle(routerOf(0), PeerDisconnected { routerOf(1) });
    group.handle(routerOf(1), PeerDisconnected { routerOf(0) });
    for (auto step = 0; step < 500; ++step) {
        group.run(20ms);
        REQUIRE(group.agreeOnLive(5));
    }
}

TEST_CASE("A router that was declared dead during a pause refutes it and is live again")
{
    auto group = Group(5);
    group.run(2s);
    group.pause(2);
    group.run(3s);
    REQUIRE(group.of(0).state(routerOf(2)) == MemberState::Dead);
    group.resume(2);
    CHECK(group.timeUntilLive(5) < 5s);
    CHECK(group.of(2).liveRouters().size() == 5);
}

TEST_CASE("A restarted router replaces its previous incarnation, and the change is reported")
{
    auto group = Group(3);
    group.run(2s);
    group.of(0).takeChanges();
    group.start(1, 2);
    group.setListed(3);
    group.connectAll(1);
    const auto changes = group.of(0).takeChanges();
    CHECK(std::ranges::any_of(changes, [](const MemberChange& change) {
        return change.router == routerOf(1) && change.incarnation.value == 2
            && change.state == MemberState::Alive;
    }));
    group.run(5s);
    CHECK(group.agreeOnLive(3));
}

TEST_CASE("A draining or leaving router holds no duties")
{
    auto group = Group(4);
    group.run(1s);
    group.drain(2);
    CHECK(group.timeUntilLive(3) < 5s);
    CHECK(group.of(0).state(routerOf(2)) == MemberState::Draining);
    CHECK(group.of(2).liveRouters().size() == 3);

    auto listed = VmsListed {};
    for (auto index = std::size_t { 0 }; index < 4; ++index)
        listed.vms.push_back({ nameOf(index), VmRole::Router, { "127.0.0.1", 1 }, "a", index == 1 });
    group.handle(routerOf(0), listed);
    CHECK(group.of(0).liveRouters().size() == 2);
    CHECK(group.of(0).expectedCount() == 3);
}

TEST_CASE("A connected router is live before the VM list names it, and is removed when it dies unlisted")
{
    auto group = Group(2);
    group.start(2, 1);
    group.connectAll(2);
    group.run(1s);
    CHECK(group.of(0).liveRouters().size() == 3);
    CHECK(group.of(0).expectedCount() == 2);
    group.otherActions.clear();
    group.pause(2);
    group.disconnect(2);
    group.run(2s);
    CHECK(group.of(0).liveRouters().size() == 2);
    const auto ended = std::ranges::count_if(group.otherActions, [](const Action& action) {
        const auto* const keep = std::get_if<KeepPeer>(&action);
        return keep != nullptr && keep->router == routerOf(2) && keep->endpoint.address.empty();
    });
    CHECK(ended == 2);
}

TEST_CASE("A listed router that never connected is dialled but not live")
{
    auto group = Group(1);
    group.setListed(2);
    group.run(2s);
    CHECK(group.of(0).liveRouters().size() == 1);
    CHECK(group.of(0).expectedCount() == 2);
    REQUIRE(!group.otherActions.empty());
    CHECK(std::get<KeepPeer>(group.otherActions.back()).router == routerOf(1));
}

TEST_CASE("The number of probes per router does not grow with the fleet")
{
    auto small = Group(8);
    auto large = Group(60);
    small.messages = 0;
    large.messages = 0;
    small.run(10s);
    large.run(10s);
    CHECK(static_cast<double>(large.messages) / 60 <= 1.1 * static_cast<double>(small.messages) / 8);
}

TEST_CASE("Print the bytes of probes sent per router and second", "[.bytes]")
{
    for (const auto size : { std::size_t { 8 }, std::size_t { 340 } }) {
        auto group = Group(size);
        group.run(10s);
        group.countBytes = true;
        group.run(10s);
        std::cout << size << " routers: " << group.bytes / size / 10 << " B/s sent by each\n";
    }
}

TEST_CASE("After random pauses of routers all routers agree again")
{
    CHECK(rc::check([] {
        auto group = Group(5, *rc::gen::inRange<std::uint64_t>(1, 1000));
        for (auto step = *rc::gen::inRange(1, 6); step > 0; --step) {
            const auto index = *rc::gen::inRange<std::size_t>(0, 5);
            group.pause(index);
            group.run(Duration(1ms) * *rc::gen::inRange(20, 3000));
            group.resume(index);
            group.run(Duration(1ms) * *rc::gen::inRange(20, 1000));
        }
        RC_ASSERT(group.timeUntilLive(5) < 30s);
    }));
}
