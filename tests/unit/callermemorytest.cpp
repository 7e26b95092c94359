#include "camphorshunt/callermemory.h"

#include <map>
#include <set>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace camphorshunt;
using namespace std::chrono_literals;

namespace {

constexpr auto mebibyte = std::size_t { 1024 } * 1024;
constexpr auto unknown = OrganisationId {};
constexpr auto acme = OrganisationId { 1 };
constexpr auto other = OrganisationId { 2 };

} // namespace

TEST_CASE("The memory held for callers never exceeds the budget, and each account is closed once")
{
    const auto kept = rc::check([] {
        const auto capacity = *rc::gen::inRange<std::size_t>(1, 100000);
        auto memory = CallerMemory(capacity);
        auto accounts = std::map<CallerMemory::Connection, std::size_t> {};
        auto now = Time { 10s };
        const auto steps = *rc::gen::inRange(1, 200);
        for (auto step = 0; step < steps; ++step) {
            now += std::chrono::milliseconds(*rc::gen::inRange(0, 3000));
            const auto connection = *rc::gen::inRange<CallerMemory::Connection>(1, 30);
            if (*rc::gen::inRange(0, 6) == 0) {
                memory.release(connection);
                accounts.erase(connection);
            } else {
                const auto organisation = OrganisationId { *rc::gen::inRange<std::uint64_t>(0, 4) };
                const auto bytes = *rc::gen::inRange<std::size_t>(0, 2 * capacity);
                accounts[connection] = bytes;
                if (bytes == 0)
                    accounts.erase(connection);
                for (const auto victim : memory.setHeld(now, connection, organisation, bytes))
                    RC_ASSERT(accounts.erase(victim) == 1);
            }
            auto sum = std::size_t { 0 };
            for (const auto& [number, held] : accounts)
                sum += held;
            RC_ASSERT(memory.held() == sum);
            RC_ASSERT(sum <= capacity);
            RC_ASSERT(memory.connections() == accounts.size());
        }
        for (const auto& [number, held] : accounts)
            memory.release(number);
        RC_ASSERT(memory.held() == 0);
    });
    CHECK(kept);
}

TEST_CASE("A request within the limits is not shed while nothing else is held, on small and large VMs")
{
    // The largest body of the users' limits, its copy for the upstream and a head.
    constexpr auto request = std::size_t { 8 } * mebibyte + std::size_t { 16 } * 1024;
    for (const auto memoryMegabytes : { 88U, 120U, 512U }) {
        auto memory = CallerMemory(callerBudgetOf(memoryMegabytes * mebibyte));
        CHECK(memory.setHeld(Time { 1s }, 1, acme, request).empty());
        CHECK(memory.setHeld(Time { 2s }, 2, unknown, request).empty());
    }
}

TEST_CASE("Bodies that stop arriving are shed before those that arrive, and before requests of others")
{
    auto memory = CallerMemory(10 * mebibyte);
    auto now = Time { 1s };
    // A caller of another organisation whose request is in progress all the while.
    CHECK(memory.setHeld(now, 100, other, mebibyte).empty());
    for (auto connection = std::uint64_t { 1 }; connection <= 8; ++connection)
        CHECK(memory.setHeld(now, connection, unknown, mebibyte).empty());
    now += 5s;
    auto shed = std::set<CallerMemory::Connection> {};
    for (auto bytes = mebibyte / 8; bytes <= 2 * mebibyte; bytes += mebibyte / 8) {
        now += 10ms;
        for (const auto victim : memory.setHeld(now, 9, unknown, bytes))
            shed.insert(victim);
    }
    CHECK(!shed.empty());
    CHECK_FALSE(shed.contains(9));
    CHECK_FALSE(shed.contains(100));
}

TEST_CASE("One organisation can't take the memory of all others")
{
    auto memory = CallerMemory(10 * mebibyte);
    auto now = Time { 1s };
    for (auto connection = std::uint64_t { 1 }; connection <= 10; ++connection)
        memory.setHeld(now, connection, other, mebibyte / 10);
    auto shed = std::set<CallerMemory::Connection> {};
    for (auto connection = std::uint64_t { 100 }; connection < 200; ++connection) {
        now += 100ms;
        for (const auto victim : memory.setHeld(now, connection, acme, mebibyte))
            shed.insert(victim);
    }
    for (auto connection = std::uint64_t { 1 }; connection <= 10; ++connection)
        CHECK_FALSE(shed.contains(connection));
}

TEST_CASE("A slow caller may have more of its answer waiting while memory is left")
{
    auto memory = CallerMemory(32 * mebibyte);
    CHECK(memory.outputAllowance(mebibyte / 4) == mebibyte / 2);
    memory.setHeld(Time { 1s }, 1, acme, 20 * mebibyte);
    CHECK(memory.outputAllowance(mebibyte / 4) == mebibyte / 4);
}

TEST_CASE("Chunks of one byte are not excessive framing, chunk extensions without end are")
{
    constexpr auto headLimit = std::size_t { 16 } * 1024;
    constexpr auto body = 4 * mebibyte;
    CHECK_FALSE(isFramingExcessive(5 * body, body, headLimit));
    CHECK_FALSE(isFramingExcessive(headLimit, 0, headLimit));
    CHECK(isFramingExcessive(headLimit + std::size_t { 17 } * 1000, 1000, headLimit));
}

TEST_CASE("A caller that takes nothing is shed although its answer grows, and may be shed again")
{
    auto memory = CallerMemory(10 * mebibyte);
    const auto begin = Time { 1s };
    // Neither sends nor takes bytes, while its answer arrives.
    CHECK(memory.setHeld(begin, 1, acme, 4 * mebibyte).empty());
    CHECK(memory.setHeld(begin + 9s, 1, acme, 5 * mebibyte, begin).empty());
    CHECK(memory.setHeld(begin + 9s, 2, acme, 3 * mebibyte).empty());
    const auto shed = memory.setHeld(begin + 9s, 3, acme, 3 * mebibyte);
    CHECK(shed == std::vector<CallerMemory::Connection> { 1 });
    CHECK(memory.setHeld(begin + 9s, 1, acme, 5 * mebibyte, begin)
        == std::vector<CallerMemory::Connection> { 1 });
}
