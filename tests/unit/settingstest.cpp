#include "settings.h"

#include <string>

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <catch2/catch.hpp>

using camphorshunt::Settings;

namespace {

const auto* const goodSettings = R"({
    // Comments are allowed.
    "name": "r1", "failureDomain": "a",
    "callers": { "listen": "127.0.0.1:8001", "maxConnections": 50 },
    "admin": { "listen": "127.0.0.1:8002" },
    "peers": { "listen": "[::1]:8003", "sharedKey": "0123456789abcdef" },
    "platform": { "log": "127.0.0.1:9001", "vms": "127.0.0.1:9002" }
})";

auto errorAfter(const std::string& from, const std::string& to) -> std::string
{
    auto text = std::string(goodSettings);
    const auto position = text.find(from);
    REQUIRE(position != std::string::npos);
    text.replace(position, from.size(), to);
    const auto parsed = Settings::parse(text, "r1.json");
    REQUIRE(parsed.has_error());
    return parsed.error().text();
}

} // namespace

TEST_CASE("Settings are read from JSON with comments")
{
    const auto parsed = Settings::parse(goodSettings, "r1.json");
    REQUIRE(parsed.has_value());
    const auto& settings = parsed.value();
    CHECK(settings.name == "r1");
    CHECK(settings.callersListen.port == 8001);
    CHECK(settings.callersLimits.connections == 50);
    CHECK(settings.peersListen.text() == "[::1]:8003");
    CHECK(settings.platformVms.port == 9002);
    CHECK(settings.recordFile.empty());
}

TEST_CASE("An error in settings names the file, the field and what is allowed in one line")
{
    CHECK(errorAfter("\"name\"", "\"nmae\": 1, \"name\"")
        == "r1.json: nmae: is an unknown field; allowed are name, failureDomain, callers, admin, peers, "
           "platform, record, trace");
    CHECK(errorAfter("\"r1\"", "7") == "r1.json: name: must be a non-empty string");
    CHECK(
        errorAfter("50", "0") == "r1.json: callers.maxConnections: must be a whole number from 1 to 100000");
    CHECK(
        errorAfter("50", "-3") == "r1.json: callers.maxConnections: must be a whole number from 1 to 100000");
    CHECK(errorAfter("127.0.0.1:9001", "localhost:9001").find("platform.log: 'localhost:9001' is not an IP")
        != std::string::npos);
    CHECK(errorAfter("\"admin\": { \"listen\": \"127.0.0.1:8002\" },", "")
        == "r1.json: admin: is missing; allowed is an object");
    CHECK(errorAfter("\"r1\",", "\"r1\",,").find("r1.json: is not JSON") == 0);
    CHECK(Settings::parse("{} /", "r1.json").error().text().find("r1.json: is not JSON: line 1") == 0);
}

TEST_CASE("A shared key that is too short, given twice or unreadable is refused without being shown")
{
    const auto tooShort = errorAfter("0123456789abcdef", "secret");
    CHECK(tooShort == "r1.json: peers.sharedKey: must hold at least 16 characters");
    CHECK(errorAfter("\"sharedKey\"", "\"sharedKeyFile\": \"k\", \"sharedKey\"").find("one of the two")
        != std::string::npos);
    CHECK(errorAfter("\"sharedKey\": \"0123456789abcdef\"", "\"sharedKeyFile\": \"/nonexistent/key\"")
        == "r1.json: peers.sharedKeyFile: cannot be read");
}
