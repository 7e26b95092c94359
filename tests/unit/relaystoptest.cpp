#include "drivenrelay.h"

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

using namespace camphorshunt;
using namespace camphorshunt::router;

TEST_CASE("A relay that is destroyed while requests are in progress ends them while it still exists")
{
    auto driven = test::DrivenRelay {};
    driven.configure(test::oneRoute(true));
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
