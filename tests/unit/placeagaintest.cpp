#include "drivenrelay.h"

#include <algorithm>

using namespace camphorshunt;
using namespace camphorshunt::router;
using namespace std::chrono_literals;

namespace {

constexpr auto request = std::string_view(
    "POST /x/1 HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: 1\r\nX-Deadline-Ms: 400\r\nContent-Length: 0\r\n"
    "\r\n");

auto drainingEngine() -> UpstreamEntry
{
    auto entry = UpstreamEntry {};
    entry.name = "engine";
    entry.service = idOf<ServiceId>("engines");
    entry.endpoint = { "127.0.0.1", 1 };
    entry.draining = true;
    return entry;
}

} // namespace

TEST_CASE(
    "A request whose engine left or began to drain before it was sent is placed again, elsewhere, until its "
    "deadline")
{
    auto driven = test::DrivenRelay {};
    const auto engine = drainingEngine();
    const auto isListed = GENERATE(false, true);
    driven.configure(test::oneRoute(true),
        std::make_shared<const UpstreamList>(isListed ? UpstreamList { engine } : UpstreamList {}));
    auto placements = std::vector<PeerPlacementRequest> {};
    driven.toScheduler.onItem([&placements](const RelayToScheduler& item) {
        if (const auto* const place = std::get_if<RequestPlacement>(&item))
            placements.push_back(place->place);
    });
    driven.connect(1);
    auto& client = driven.clients.front();
    test::send(client, request);
    driven.context.run_for(20ms);
    driven.schedulerContext.poll();
    REQUIRE(placements.size() == 1);
    const auto& first = placements.front().request;
    driven.relay->handleMessage(PlacementDecided {
        { first.key.number, first.service, engine.id(), std::nullopt, RefusalReason::NoUpstream, 0ms, {} } });
    CHECK(driven.receive(client, 20ms).empty());
    driven.schedulerContext.restart();
    driven.schedulerContext.poll();
    REQUIRE(placements.size() == 2);
    CHECK(std::ranges::count(placements.back().request.avoid, engine.id()) == 1);
    CHECK(driven.receive(client, 500ms).starts_with("HTTP/1.1 503"));
}
