#include <algorithm>

#include <catch2/catch.hpp>

#include "requestrecord.h"

using namespace camphorshunt;
using namespace camphorshunt::router;

TEST_CASE("The line of a failed attempt tells which shared prompt parts its upstream had begun to answer")
{
    const auto parts = std::vector<PromptPart> { { 0x5c1e07a2, 300 }, { 0xff, 10 }, { 7, 200 } };
    auto failed
        = FailedAttempt { "id", "engine", PlacementEnd::Broken, "the answer was cut", true, 1, false, true };
    const auto valueOf = [&failed](std::string_view name) {
        const auto fields = failed.fields();
        const auto found = std::ranges::find(fields, name, &LogField::name);
        return found == fields.end() ? std::string("none") : found->value;
    };
    CHECK(valueOf("parts") == "none");
    failed.parts = parts;
    CHECK(valueOf("parts") == "5c1e07a2,ff");
    CHECK(valueOf("begun") == "true");
    failed.parts = std::span(parts).last(1);
    CHECK(valueOf("parts") == "none");
}

TEST_CASE("The line of a failed attempt tells why the answer counts as broken")
{
    auto failed
        = FailedAttempt { "id", "engine", PlacementEnd::Broken, "the answer was cut", true, 1, false, true };
    const auto faults = [&failed] {
        auto listed = std::vector<LogField> {};
        std::ranges::copy_if(failed.fields(), std::back_inserter(listed),
            [](const LogField& field) { return field.name == "fault"; });
        return listed;
    };
    CHECK(faults().empty());
    failed.fault = "the connection ended inside the body";
    REQUIRE(faults().size() == 1);
    CHECK(faults().front().value == "the connection ended inside the body");
}
