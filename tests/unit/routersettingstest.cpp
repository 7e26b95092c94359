#include "routersettings.h"

#include <catch2/catch.hpp>

using namespace camphorshunt::router;

namespace {

auto settingsText() -> std::string
{
    return R"({
        // A router.
        "name": "r1", "failureDomain": "zone-a",
        "listen": { "callers": "10.0.0.1:1", "readiness": "10.0.0.1:2", "peers": "10.0.0.1:3",
            "metrics": "10.0.0.1:4" },
        "seeds": ["10.0.0.2:3"], "store": "10.0.0.9:5",
        "limits": { "processorShare": 0.25, "descriptors": 4200, "stopSeconds": 8.0 },
        "bounds": { "retryRatio": 0.2, "retrySpare": 52.0, "retryWindowSeconds": 10 }
    })";
}

auto replaced(std::string_view field, std::string_view replacement) -> std::string
{
    auto text = settingsText();
    text.replace(text.find(field), field.size(), replacement);
    return text;
}

auto errorOf(const std::string& text) -> std::string
{
    const auto settings = RouterSettings::parse(text, "f.json");
    return settings ? "" : settings.error().text();
}

} // namespace

TEST_CASE("A router's settings are read from JSON with comments")
{
    const auto settings = RouterSettings::parse(settingsText(), "f.json");
    REQUIRE(settings);
    CHECK(settings.value().callers.port == 1);
    CHECK(settings.value().seeds.size() == 1);
    CHECK(settings.value().processorShare == 0.25);
    CHECK(settings.value().stopTime == std::chrono::seconds(8));
    CHECK(settings.value().retries.burstAllowance == 52);
    // Deployments without cold engines state neither.
    CHECK(settings.value().coldOvershoot == 1);
    CHECK(settings.value().coldSlack == 0);
    const auto cold = RouterSettings::parse(
        replaced("\"retryRatio\": 0.2", "\"retryRatio\": 0.2, \"coldOvershoot\": 1.5, \"coldSlack\": 5"),
        "f.json");
    REQUIRE(cold);
    CHECK(cold.value().coldOvershoot == 1.5);
    CHECK(cold.value().coldSlack == 5);
}

TEST_CASE("The bounds for cold engines are read from the environment, where the host states them")
{
    const auto environmentWith = [](const char* overshoot) {
        return [overshoot](const char* name) -> const char* {
            return std::string_view(name).ends_with("OVERSHOOT") ? overshoot : "5.0";
        };
    };
    auto settings = RouterSettings {};
    REQUIRE(settings.readEnvironment(environmentWith("1.5")));
    CHECK(settings.coldOvershoot == 1.5);
    CHECK(settings.coldSlack == 5);
    CHECK(settings.readEnvironment(environmentWith("")));
    CHECK(settings.coldOvershoot == 1.5);
    CHECK_FALSE(settings.readEnvironment(environmentWith("much")));
    CHECK_FALSE(settings.readEnvironment(environmentWith("0.5")));
}

TEST_CASE("Invalid settings are rejected with an error that names the file and the field")
{
    CHECK(!errorOf("{").empty());
    CHECK(errorOf(replaced("\"name\": \"r1\",", "")).find("f.json: name") == 0);
    CHECK(errorOf(replaced("10.0.0.1:3", "nowhere")).find("f.json: listen.peers") == 0);
    CHECK(errorOf(replaced("\"10.0.0.2:3\"", "7")).find("f.json: seeds") == 0);
    CHECK(errorOf(replaced("0.25", "\"much\"")).find("f.json: limits.processorShare") == 0);
    CHECK(errorOf(replaced("\"store\"", "\"stroe\"")).find("f.json: store") == 0);
    CHECK(errorOf(replaced("\"retryRatio\": 0.2", "\"retryRatio\": 0.2, \"more\": 1"))
              .find("f.json: bounds.more")
        == 0);
}
