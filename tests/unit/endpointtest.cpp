#include "camphorshunt/endpoint.h"

#include <catch2/catch.hpp>

using camphorshunt::Endpoint;

TEST_CASE("An endpoint is an IP address and a port")
{
    CHECK(Endpoint::parse("127.0.0.1:80", "listen").value() == Endpoint { "127.0.0.1", 80 });
    CHECK(Endpoint::parse("[::1]:8080", "listen").value().text() == "[::1]:8080");
}

TEST_CASE("An endpoint that is a host name or lacks a port is rejected with an error that names its field")
{
    for (const auto* text :
        { "localhost:80", "127.0.0.1", ":80", "127.0.0.1:", "127.0.0.1:99999", "::1:80", "" }) {
        const auto parsed = Endpoint::parse(text, "peers[0].address");
        REQUIRE(parsed.has_error());
        CHECK(parsed.error().field == "peers[0].address");
    }
}
