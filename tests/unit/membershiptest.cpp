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

/** Memberships of a few routers that pass their messages on within one step of 20 ms. */
class Group {
public:
    explicit Group(std::size_t size, std::uint64_t seed = 1)
        : seed_(seed)
    {
        for (auto index = std::size_t { 0 }; index < size; ++index)
            start(index, 1);
        list(size);
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
        silent_.erase(settings.self);
    }

    auto list(std::size_t size) -> void
    {
        auto listed = VmsListed {};
        for (auto index = std::size_t { 0 }; index < size; ++index)
            listed.vms.push_back({ nameOf(index), VmRole::Router, { "127.0.0.1", 1 }, "a", false });
        for (auto& [router, membership] : routers_)
            give(router, listed);
    }

    auto connect(RouterId left, RouterId right) -> void
    {
        give(left, PeerConnected { right, incarnations_[right] });
        give(right, PeerConnected { left, incarnations_[left] });
    }

    auto connectAll(std::size_t index) -> void
    {
        for (auto& [router, membership] : routers_) {
            if (router != routerOf(index) && !silent_.contains(router))
                connect(router, routerOf(index));
        }
    }

    /** No message of it passes, and its clock stands still. */
    auto silence(std::size_t index) -> void { silent_.insert(routerOf(index)); }
    auto wake(std::size_t index) -> void { silent_.erase(routerOf(index)); }
    auto cut(std::size_t left, std::size_t right) -> void
    {
        cuts_.insert({ routerOf(left), routerOf(right) });
        cuts_.insert({ routerOf(right), routerOf(left) });
    }
    auto disconnect(std::size_t index) -> void
    {
        for (auto& [router, membership] : routers_) {
            if (router != routerOf(index) && !silent_.contains(router))
                give(router, PeerDisconnected { routerOf(index) });
        }
    }

    auto run(Duration time) -> void
    {
        for (const auto end = now_ + time; now_ < end;) {
            now_ += 20ms;
            for (auto& entry : routers_) {
                if (!silent_.contains(entry.first))
                    act(entry.first, [&](Actions& actions) { entry.second->tick(now_, actions); });
            }
            deliver();
        }
    }

    /** Time until all who answer agree that so many routers are live. */
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
            return silent_.contains(entry.first) || entry.second->liveRouters().size() == count;
        });
    }

    auto of(std::size_t index) -> Membership& { return *routers_.at(routerOf(index)); }
    template <typename EventType> auto give(RouterId router, const EventType& event) -> void
    {
        act(router, [&](Actions& actions) { routers_.at(router)->handle(now_, event, actions); });
        deliver();
    }
    auto drain(std::size_t index) -> void
    {
        act(routerOf(index), [&](Actions& actions) { of(index).drain(now_, actions); });
        deliver();
    }

    Actions kept;
    std::size_t messages {};
    std::size_t bytes {};
    bool countBytes {};

private:
    struct Letter {
        RouterId from;
        RouterId to;
        PeerMessage message;
    };

    template <typename Function> auto act(RouterId router, Function function) -> void
    {
        auto actions = Actions {};
        function(actions);
        for (auto& action : actions) {
            if (auto* const send = std::get_if<SendPeer>(&action))
                letters_.push_back({ router, send->router, std::move(send->message) });
            else
                kept.push_back(std::move(action));
        }
    }

    auto deliver() -> void
    {
        while (!letters_.empty()) {
            const auto letter = std::move(letters_.front());
            letters_.pop_front();
            const auto passes = routers_.contains(letter.to) && !silent_.contains(letter.from)
                && !silent_.contains(letter.to) && !cuts_.contains({ letter.from, letter.to });
            if (!passes)
                continue;
            ++messages;
            bytes += countBytes ? 4 + encodeMessage(letter.message).size() : 0;
            act(letter.to, [&](Actions& actions) {
                auto& receiver = *routers_.at(letter.to);
                if (const auto* const probe = std::get_if<Probe>(&letter.message))
                    receiver.handle(now_, letter.from, *probe, actions);
                else
                    receiver.handle(now_, letter.from, std::get<ProbeAck>(letter.message), actions);
            });
        }
    }

    std::uint64_t seed_;
    Time now_ {};
    std::map<RouterId, std::unique_ptr<Membership>> routers_;
    std::map<RouterId, Incarnation> incarnations_;
    std::set<RouterId> silent_;
    std::set<std::pair<RouterId, RouterId>> cuts_;
    std::deque<Letter> letters_;
};

} // namespace

TEST_CASE("A router alone owns every duty")
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

TEST_CASE("A router gone silent is dead for all of eight within a second")
{
    auto longest = Duration {};
    for (auto seed = std::uint64_t { 1 }; seed <= 50; ++seed) {
        auto group = Group(8, seed);
        group.run(3s + Duration(7ms) * seed);
        group.silence(3);
        longest = std::max(longest, group.timeUntilLive(7));
    }
    INFO("longest in microseconds: " << longest.count());
    CHECK(longest < 1s);
}

TEST_CASE("A router whose connections broke is dead sooner than a silent one")
{
    auto group = Group(8);
    group.run(3s);
    group.silence(3);
    group.disconnect(3);
    CHECK(group.timeUntilLive(7) <= 500ms);
}

TEST_CASE("A broken link between two routers kills neither")
{
    auto group = Group(5);
    group.run(2s);
    group.cut(0, 1);
    group.give(routerOf(0), PeerDisconnected { routerOf(1) });
    group.give(routerOf(1), PeerDisconnected { routerOf(0) });
    for (auto step = 0; step < 500; ++step) {
        group.run(20ms);
        REQUIRE(group.agreeOnLive(5));
    }
}

TEST_CASE("A router that was paused contradicts its own death")
{
    auto group = Group(5);
    group.run(2s);
    group.silence(2);
    group.run(3s);
    REQUIRE(group.of(0).state(routerOf(2)) == MemberState::Dead);
    group.wake(2);
    CHECK(group.timeUntilLive(5) < 5s);
    CHECK(group.of(2).liveRouters().size() == 5);
}

TEST_CASE("A restarted router replaces its old self and is reported with its new incarnation")
{
    auto group = Group(3);
    group.run(2s);
    group.of(0).takeChanges();
    group.start(1, 2);
    group.list(3);
    group.connectAll(1);
    const auto changes = group.of(0).takeChanges();
    CHECK(std::ranges::any_of(changes, [](const MemberChange& change) {
        return change.router == routerOf(1) && change.incarnation.value == 2
            && change.state == MemberState::Alive;
    }));
    group.run(5s);
    CHECK(group.agreeOnLive(3));
}

TEST_CASE("A draining or leaving router takes no duties")
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
    group.give(routerOf(0), listed);
    CHECK(group.of(0).liveRouters().size() == 2);
    CHECK(group.of(0).expectedCount() == 3);
}

TEST_CASE("A connected router counts before the VM list names it, and goes when it dies unlisted")
{
    auto group = Group(2);
    group.start(2, 1);
    group.connectAll(2);
    group.run(1s);
    CHECK(group.of(0).liveRouters().size() == 3);
    CHECK(group.of(0).expectedCount() == 2);
    group.kept.clear();
    group.silence(2);
    group.disconnect(2);
    group.run(2s);
    CHECK(group.of(0).liveRouters().size() == 2);
    const auto ended = std::ranges::count_if(group.kept, [](const Action& action) {
        const auto* const keep = std::get_if<KeepPeer>(&action);
        return keep != nullptr && keep->router == routerOf(2) && keep->endpoint.address.empty();
    });
    CHECK(ended == 2);
}

TEST_CASE("A listed router that was never heard of is kept but not live")
{
    auto group = Group(1);
    group.list(2);
    group.run(2s);
    CHECK(group.of(0).liveRouters().size() == 1);
    CHECK(group.of(0).expectedCount() == 2);
    REQUIRE(!group.kept.empty());
    CHECK(std::get<KeepPeer>(group.kept.back()).router == routerOf(1));
}

TEST_CASE("Probes of one router do not grow with the fleet")
{
    auto small = Group(8);
    auto large = Group(60);
    small.messages = 0;
    large.messages = 0;
    small.run(10s);
    large.run(10s);
    CHECK(static_cast<double>(large.messages) / 60 <= 1.1 * static_cast<double>(small.messages) / 8);
}

TEST_CASE("The bytes of probes per router and second are known", "[.bytes]")
{
    for (const auto size : { std::size_t { 8 }, std::size_t { 340 } }) {
        auto group = Group(size);
        group.run(10s);
        group.countBytes = true;
        group.run(10s);
        std::cout << size << " routers: " << group.bytes / size / 10 << " B/s sent by each\n";
    }
}

TEST_CASE("After any cuts and silences the routers that are whole again agree")
{
    CHECK(rc::check([] {
        auto group = Group(5, *rc::gen::inRange<std::uint64_t>(1, 1000));
        for (auto step = *rc::gen::inRange(1, 6); step > 0; --step) {
            const auto index = *rc::gen::inRange<std::size_t>(0, 5);
            group.silence(index);
            group.run(Duration(1ms) * *rc::gen::inRange(20, 3000));
            group.wake(index);
            group.run(Duration(1ms) * *rc::gen::inRange(20, 1000));
        }
        RC_ASSERT(group.timeUntilLive(5) < 30s);
    }));
}
