#include "camphorshunt/endpoint.h"

#include <catch2/catch.hpp>

using camphorshunt::Endpoint;

TEST_CASE("An end point is an IP number and a port")
{
    CHECK(Endpoint::parse("127.0.0.1:80", "listen").value() == Endpoint { "127.0.0.1", 80 });
    CHECK(Endpoint::parse("[::1]:8080", "listen").value().text() == "[::1]:8080");
}

TEST_CASE("An end point that is a name or lacks a port is refused with its field")
{
    for (const auto* text :
        { "localhost:80", "127.0.0.1", ":80", "127.0.0.1:", "127.0.0.1:99999", "::1:80", "" }) {
        const auto parsed = Endpoint::parse(text, "peers[0].address");
        REQUIRE(parsed.has_error());
        CHECK(parsed.error().field == "peers[0].address");
    }
}
