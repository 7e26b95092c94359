#include "camphorshunt/routetable.h"

#include <map>

#include <catch2/catch.hpp>

using namespace camphorshunt;

namespace {

auto route(std::string name, std::string host, std::string prefix) -> Route
{
    auto made = Route {};
    made.name = std::move(name);
    made.host = std::move(host);
    made.pathPrefix = std::move(prefix);
    made.targets = { { idOf<ServiceId>("one"), 1 } };
    return made;
}

auto table() -> std::shared_ptr<const RouteTable>
{
    auto configuration = FleetConfiguration {};
    configuration.version = 3;
    configuration.routes = { route("short", "a.example", "/x/"), route("long", "a.example", "/x/y/"),
        route("other", "b.example", "/x/") };
    configuration.services = { { "one", 10, std::nullopt } };
    configuration.organisations = { { "acme", { "k1", "k2" }, 0 }, { "zeta", { "k3" }, std::nullopt } };
    return RouteTable::build(std::move(configuration));
}

} // namespace

TEST_CASE("A route is found by host and the longest prefix of the path")
{
    const auto routes = table();
    CHECK(routes->find("a.example", "/x/1")->name == "short");
    CHECK(routes->find("a.example", "/x/y/1?q=/z/")->name == "long");
    CHECK(routes->find("A.Example:80", "/x/y/")->name == "long");
    CHECK(routes->find("b.example", "/x/y/1")->name == "other");
    CHECK(routes->find("a.example", "/x") == nullptr);
    CHECK(routes->find("a.example", "/q?/x/") == nullptr);
    CHECK(routes->find("c.example", "/x/1") == nullptr);
}

TEST_CASE("A key identifies its organisation")
{
    const auto routes = table();
    CHECK(routes->holderOf("k2")->name == "acme");
    CHECK(routes->holderOf("k3")->name == "zeta");
    CHECK(routes->holderOf("k4") == nullptr);
    CHECK(routes->holderOf("") == nullptr);
    CHECK(routes->requiresKeys());
    CHECK(!RouteTable::build({})->requiresKeys());
}

TEST_CASE("Requests are distributed over services by weight")
{
    auto split = route("split", "a.example", "/");
    split.targets = { { ServiceId { 1 }, 90 }, { ServiceId { 2 }, 10 }, { ServiceId { 3 }, 0 } };
    auto counts = std::map<std::uint64_t, int> {};
    for (auto draw = std::uint64_t { 0 }; draw < 10000; ++draw)
        ++counts[RouteTable::chooseTarget(split, hashName(std::to_string(draw))).value];
    CHECK(counts[1] > 8800);
    CHECK(counts[1] < 9200);
    CHECK(counts[2] > 800);
    CHECK(counts.count(3) == 0);
}

TEST_CASE("Only requests of idempotent routes and resumable streams may be executed twice")
{
    auto made = Route {};
    made.kind = RequestKind::NonIdempotent;
    made.resumable = true;
    CHECK(!made.repeatable());
    made.kind = RequestKind::Stream;
    CHECK(made.repeatable());
    made.resumable = false;
    CHECK(!made.repeatable());
    made.kind = RequestKind::Idempotent;
    CHECK(made.repeatable());
}
