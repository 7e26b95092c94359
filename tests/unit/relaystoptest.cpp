#include "drivenrelay.h"

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

using namespace camphorshunt;
using namespace camphorshunt::router;

namespace {

auto oneRoute() -> std::shared_ptr<const RouteTable>
{
    auto route = Route {};
    route.name = "route";
    route.host = "a.example";
    route.pathPrefix = "/x/";
    route.timeout = std::chrono::milliseconds(5000);
    route.targets = { { idOf<ServiceId>("engines"), 1 } };
    auto configuration = FleetConfiguration {};
    configuration.version = 1;
    configuration.routes = { route };
    configuration.services = { { "engines", 10, EngineTraits {} } };
    return RouteTable::build(std::move(configuration));
}

} // namespace

TEST_CASE("A relay that is destroyed while requests are in progress ends them while it still exists")
{
    auto driven = test::DrivenRelay {};
    driven.relay->handleMessage(FleetChanged { oneRoute(), std::make_shared<const UpstreamList>(), 1, {} });
    driven.connect(2);
    for (auto& client : driven.clients)
        boost::asio::write(client,
            boost::asio::buffer(std::string_view(
                "POST /x/1 HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: 1\r\nX-Deadline-Ms: 5000\r\n"
                "Content-Length: 0\r\n\r\n")));
    while (driven.relay->requestsInProgress() < 2)
        driven.context.run_one();
    driven.relay.reset();
    for (auto& client : driven.clients) {
        client.non_blocking(true);
        auto byte = char {};
        auto error = boost::system::error_code {};
        client.read_some(boost::asio::buffer(&byte, 1), error);
        CHECK(error != boost::asio::error::would_block);
    }
}
