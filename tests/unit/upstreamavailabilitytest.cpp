#include "upstreamavailability.h"

#include <array>
#include <map>
#include <vector>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace camphorshunt;
using namespace std::chrono_literals;

namespace {

auto upstream(std::string name, std::chrono::milliseconds startedAt = 0ms, std::uint16_t port = 80)
    -> UpstreamEntry
{
    auto entry = UpstreamEntry {};
    entry.name = std::move(name);
    entry.endpoint = { "10.0.0.1", port };
    entry.startedAt = startedAt;
    return entry;
}

constexpr auto start = Time(std::chrono::hours(1));

} // namespace

TEST_CASE("An upstream that leaves gets no request, whatever the directory lists")
{
    const auto entry = upstream("u1", 500ms);
    auto availability = UpstreamAvailability {};
    CHECK(availability.maySend(start, entry));
    CHECK(availability.recordLeaving(start, entry.process()));
    CHECK(!availability.recordLeaving(start, entry.process()));
    CHECK(!availability.maySend(start, entry));
    CHECK(availability.leaving() == 1);

    // Read before the answer that had the header.
    availability.setUpstreams(start, std::array { entry });
    CHECK(!availability.maySend(start + 1s, entry));
    // Expired, and listed again.
    availability.setUpstreams(start + 2s, {});
    availability.sweep(start + 60s);
    availability.setUpstreams(start + 60s, std::array { entry });
    CHECK(!availability.maySend(start + 60s, entry));
    const auto earlier = upstream("u1", 400ms, 81);
    availability.setUpstreams(start + 61s, std::array { earlier });
    CHECK(!availability.maySend(start + 61s, earlier));
}

TEST_CASE("A new upstream at the address or under the name of one that left gets requests")
{
    auto availability = UpstreamAvailability {};
    const auto left = upstream("u1", 500ms);
    availability.recordLeaving(start, left.process());
    CHECK(availability.maySend(start, upstream("u2", 500ms)));
    const auto restarted = upstream("u1", 501ms);
    CHECK(availability.maySend(start, restarted));
    availability.setUpstreams(start, std::array { restarted });
    CHECK(availability.maySend(start, restarted));
    // A late answer of the previous process.
    CHECK(!availability.recordLeaving(start, left.process()));
    CHECK(availability.maySend(start, restarted));
    availability.sweep(start + UpstreamAvailability::retention + 1us);
    CHECK(availability.size() == 0);

    // Without start times the address tells the processes apart.
    const auto unknown = upstream("u3");
    availability.recordLeaving(start, unknown.process());
    CHECK(!availability.maySend(start, unknown));
    CHECK(availability.maySend(start, upstream("u3", 0ms, 81)));
}

TEST_CASE("News of an earlier process doesn't replace what is known of the later one")
{
    auto availability = UpstreamAvailability {};
    const auto later = upstream("u1", 500ms);
    availability.recordRest(start, later.process(), start + 10s);
    CHECK(!availability.recordLeaving(start, upstream("u1", 400ms).process()));
    CHECK(!availability.recordRest(start, upstream("u1", 400ms).process(), start + 20s));
    CHECK(availability.sendableFrom(start, later.process()) == start + 10s);
}

TEST_CASE("An upstream that rests gets no request until the longest of its rests ends")
{
    const auto entry = upstream("u1");
    const auto process = entry.process();
    auto availability = UpstreamAvailability {};
    CHECK(!availability.recordRest(start, process, start));
    CHECK(availability.recordRest(start, process, start + 2s));
    CHECK(!availability.recordRest(start + 100ms, process, start + 1s));
    CHECK(availability.sendableFrom(start, process) == start + 2s);
    CHECK(availability.resting(start) == 1);
    CHECK(availability.sweep(start + 2s - 1us).empty());
    CHECK(!availability.maySend(start + 2s - 1us, entry));
    CHECK(availability.maySend(start + 2s, entry));
    CHECK(availability.sweep(start + 2s) == std::vector { entry.id() });
    CHECK(availability.resting(start + 2s) == 0);
    CHECK(availability.sweep(start + 2s).empty());
    CHECK(availability.recordRest(start + 3s, process, start + 4s));
    CHECK(availability.recordLeaving(start + 3s, process));
    CHECK(!availability.maySend(start + 9s, entry));
    CHECK(availability.sweep(start + 9s).empty());
}

TEST_CASE("What is known of upstreams that the directory dropped is forgotten in the end")
{
    auto availability = UpstreamAvailability {};
    for (auto index = 0; index < 100; ++index)
        availability.recordLeaving(start, upstream("u" + std::to_string(index)).process());
    const auto kept = upstream("u0");
    availability.setUpstreams(start, std::array { kept });
    availability.sweep(start + UpstreamAvailability::retention + 1s);
    CHECK(availability.size() == 1);
    CHECK(!availability.maySend(start + UpstreamAvailability::retention + 1s, kept));
}

// The times in this test follow from what each process said itself, without regard to the order in which
// the router learnt of it.
TEST_CASE(
    "For any order of answers, pauses and directory pages, nothing is sent within a rest or after a leave")
{
    CHECK(rc::check([] {
        constexpr auto names = std::array { "a", "b", "c" };
        struct Said {
            bool leaving = false;
            Time restsUntil {};
        };
        auto availability = UpstreamAvailability {};
        auto said = std::map<std::pair<std::string, int>, Said> {};
        auto now = start;
        const auto steps = *rc::gen::inRange(1, 80);
        for (auto step = 0; step < steps; ++step) {
            const auto name = std::string(names.at(std::size_t(*rc::gen::inRange(0, 3))));
            const auto life = *rc::gen::inRange(1, 4);
            const auto entry = upstream(name, std::chrono::milliseconds(life), std::uint16_t(80 + life));
            auto& state = said[{ name, life }];
            switch (*rc::gen::inRange(0, 6)) {
            case 0:
                availability.recordLeaving(now, entry.process());
                state.leaving = true;
                break;
            case 1: {
                const auto until = now + std::chrono::milliseconds(*rc::gen::inRange(-10, 4000));
                availability.recordRest(now, entry.process(), until);
                state.restsUntil = std::max(state.restsUntil, until);
                break;
            }
            case 2: {
                // Pages are stale, incomplete and out of order, but list one process under each name.
                auto page = std::vector<UpstreamEntry> {};
                for (const auto* const listed : names) {
                    const auto listedLife = *rc::gen::inRange(0, 4);
                    if (listedLife > 0)
                        page.push_back(upstream(
                            listed, std::chrono::milliseconds(listedLife), std::uint16_t(80 + listedLife)));
                }
                availability.setUpstreams(now, page);
                break;
            }
            case 3:
                now += std::chrono::milliseconds(*rc::gen::inRange(0, 3000));
                break;
            case 4:
                availability.sweep(now);
                break;
            default:
                break;
            }
            for (const auto* const checked : names) {
                // Only the latest process that said anything or was listed can still be running.
                for (auto checkedLife = 3; checkedLife > 0; --checkedLife) {
                    const auto found = said.find({ checked, checkedLife });
                    if (found == said.end() || (!found->second.leaving && now >= found->second.restsUntil))
                        continue;
                    const auto listed = upstream(
                        checked, std::chrono::milliseconds(checkedLife), std::uint16_t(80 + checkedLife));
                    RC_ASSERT(!availability.maySend(now, listed));
                }
            }
        }
    }));
}

TEST_CASE("An upstream that said that it leaves before it was listed gets no requests until it has restarted")
{
    auto availability = UpstreamAvailability {};
    // Its answer at another upstream's address tells its name, not its start time.
    CHECK(availability.recordLeaving(start, upstream("u1").process()));
    const auto listed = upstream("u1", 500ms);
    CHECK(!availability.maySend(start, listed));
    availability.setUpstreams(start, std::array { listed });
    CHECK(!availability.maySend(start, listed));
    const auto restarted = upstream("u1", 900ms);
    availability.setUpstreams(start + 1s, std::array { restarted });
    CHECK(availability.maySend(start + 1s, restarted));

    // An upstream at another address is not meant.
    CHECK(availability.recordLeaving(start, upstream("u2").process()));
    CHECK(availability.maySend(start, upstream("u2", 500ms, 81)));
}
