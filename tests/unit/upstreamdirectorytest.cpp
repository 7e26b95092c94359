#include "upstreamdirectory.h"

#include <catch2/catch.hpp>

using namespace camphorshunt;
using namespace std::chrono_literals;

namespace {

auto entry(std::string name) -> UpstreamEntry
{
    auto result = UpstreamEntry {};
    result.name = std::move(name);
    return result;
}

} // namespace

TEST_CASE("An entry that is removed while the directory is reachable disappears immediately")
{
    auto directory = UpstreamDirectory {};
    auto now = Time { 10s };
    directory.recordRead(now);
    CHECK(directory.applyEntry(now, "a", entry("a")));
    CHECK(!directory.applyEntry(now, "a", entry("a")));
    now += 400ms;
    directory.recordRead(now);
    CHECK(directory.applyEntry(now, "a", std::nullopt));
    CHECK(directory.entries().empty());
}

TEST_CASE("Entries that lapsed while the directory was unreachable have two seconds to be listed again")
{
    auto directory = UpstreamDirectory {};
    auto now = Time { 10s };
    directory.recordRead(now);
    directory.applyEntry(now, "back", entry("back"));
    directory.applyEntry(now, "gone", entry("gone"));
    now += 5s;
    directory.recordRead(now);
    CHECK(!directory.applyEntry(now, "back", std::nullopt));
    CHECK(!directory.applyEntry(now, "gone", std::nullopt));
    CHECK(directory.entries().size() == 2);
    now += 1s;
    directory.recordRead(now);
    directory.applyEntry(now, "back", entry("back"));
    now += 900ms;
    CHECK(!directory.removeLapsed(now));
    now += 500ms;
    CHECK(directory.removeLapsed(now));
    REQUIRE(directory.entries().size() == 1);
    CHECK(directory.entries().front().name == "back");
}

TEST_CASE("Entries missing from a complete read are removed")
{
    auto directory = UpstreamDirectory {};
    const auto now = Time { 10s };
    directory.recordRead(now);
    directory.applyEntry(now, "a", entry("a"));
    const auto complete
        = std::vector<UpstreamDirectory::NamedEntry> { { "b", entry("b") }, { "c", std::nullopt } };
    CHECK(directory.replaceAll(now, complete));
    REQUIRE(directory.entries().size() == 1);
    CHECK(directory.entries().front().name == "b");
}
