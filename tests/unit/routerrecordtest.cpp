#include "routerrecord.h"

#include <limits>

#include <catch2/catch.hpp>

using namespace camphorshunt;
using namespace camphorshunt::router;

// The value was read from a string that no longer existed, so routers had no share or a random one.
TEST_CASE("A router's record in the store is read as it was written")
{
    const auto written = RouterAddress { "10.0.0.1:7000", 0.12, std::numeric_limits<std::uint64_t>::max() };
    const auto read = decodeRouterRecord(written.endpoint, encodeRouterRecord(written));
    CHECK(read.endpoint == written.endpoint);
    CHECK(read.processorShare == Approx(written.processorShare));
    CHECK(read.failureDomain == written.failureDomain);
}

TEST_CASE("Of an unreadable record of a router only the address is used")
{
    for (const auto* const value : { "", "10.0.0.1:7000", "0.5", "0.5 ", "0.5 12x", "-1 12", "nan 12",
             "inf 12", "0.5 99999999999999999999", "0 12" }) {
        INFO(value);
        const auto read = decodeRouterRecord("10.0.0.1:7000", std::string(value));
        CHECK(read.endpoint == "10.0.0.1:7000");
        CHECK(read.processorShare == 0);
        CHECK(read.failureDomain == 0);
    }
    CHECK(decodeRouterRecord("10.0.0.1:7000", std::nullopt).processorShare == 0);
}
