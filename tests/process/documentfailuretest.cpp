#include "fleet.h"

#include <array>
#include <set>

#include <boost/json.hpp>
#include <catch2/catch.hpp>

using namespace camphorshunt::test;

namespace {

constexpr auto service = "assistant";

auto withReserved(const Fleet& fleet, int slots) -> std::string
{
    return fleet.assistantDocument(R"({"reservedSlots":)" + std::to_string(slots) + "}");
}

/** Version and digest of the assistant's document on one daemon. */
auto documentOf(Fleet& fleet, std::size_t router) -> std::string
{
    const auto status = fleet.statusJson(router);
    if (!status.is_object())
        return {};
    for (const auto& entry : status.at("documents").at("services").as_array()) {
        if (entry.at("service").as_string() == service)
            return boost::json::serialize(entry.at("version")) + "/"
                + boost::json::serialize(entry.at("digest"));
    }
    return {};
}

/** All daemons have the same document, of this version. */
auto agreeOn(Fleet& fleet, std::uint64_t version) -> bool
{
    return eventually([&] {
        auto seen = std::set<std::string> {};
        for (auto index = std::size_t {}; index < fleet.size(); ++index) {
            if (fleet.version(index, service) != version)
                return false;
            seen.insert(documentOf(fleet, index));
        }
        return seen.size() == 1;
    });
}

auto serves(Fleet& fleet) -> bool
{
    for (auto index = std::size_t {}; index < fleet.size(); ++index) {
        if (!call(fleet.router(index).callers, Fleet::chat(index, 3)).isComplete())
            return false;
    }
    return true;
}

} // namespace

TEST_CASE("Of two operators who publish on one version at once one wins, and every daemon takes that edit")
{
    auto fleet = Fleet(FleetOptions {});
    REQUIRE(fleet.awaitMembers(3));
    for (auto round = 0; round < 5; ++round) {
        const auto base = fleet.version(0, service);
        const auto edits = std::array { withReserved(fleet, 0), withReserved(fleet, 1) };
        auto codes = std::array<std::future<int>, 2> {};
        for (auto index = std::size_t {}; index < 2; ++index)
            codes[index] = std::async(std::launch::async,
                [&, index] { return fleet.tryPublish(edits[index], { "--base=" + std::to_string(base) }); });
        const auto seen = std::multiset<int> { codes[0].get(), codes[1].get() };
        CHECK(seen == std::multiset<int> { 0, 3 });
        const auto end = fleet.endOfStream("documents");
        CHECK(eventually([&] { return fleet.version(0, service) > base; }));
        const auto version = fleet.version(0, service);
        CHECK(version <= end);
        CHECK(agreeOn(fleet, version));
    }
}

TEST_CASE("An edit whose append answer is lost is in force once, also when it is published again by its id")
{
    auto fleet = Fleet(FleetOptions {});
    REQUIRE(fleet.awaitMembers(3));
    fleet.log().fault(R"({"mode":"lost-ack"})");
    CHECK(fleet.tryPublish(withReserved(fleet, 1), { "--edit_id=one" }) == 0);
    CHECK(fleet.tryPublish(withReserved(fleet, 1), { "--edit_id=one" }) == 0);
    fleet.log().fault(R"({"mode":"none"})");
    REQUIRE(eventually([&] { return fleet.version(0, service) > 1; }));
    const auto version = fleet.version(0, service);
    CHECK(agreeOn(fleet, version));
    CHECK(fleet.tryPublish(withReserved(fleet, 0)) == 0);
    REQUIRE(eventually([&] { return fleet.version(0, service) > version; }));
    CHECK(agreeOn(fleet, fleet.version(0, service)));
}

TEST_CASE("A fleet restarted with no memory takes the same document from the log")
{
    auto fleet = Fleet(FleetOptions {});
    REQUIRE(fleet.awaitMembers(3));
    fleet.publish(withReserved(fleet, 1));
    REQUIRE(eventually([&] { return fleet.version(0, service) > 2; }));
    const auto version = fleet.version(0, service);
    REQUIRE(agreeOn(fleet, version));
    const auto document = documentOf(fleet, 0);

    fleet.restartAll();
    REQUIRE(fleet.awaitMembers(3));
    CHECK(agreeOn(fleet, version));
    CHECK(documentOf(fleet, 0) == document);
    CHECK(serves(fleet));
}

TEST_CASE("A daemon that starts while the log is out serves by a document from its peers")
{
    auto fleet = Fleet(FleetOptions {});
    REQUIRE(fleet.awaitMembers(3));
    fleet.publish(withReserved(fleet, 1));
    REQUIRE(eventually([&] { return fleet.version(0, service) > 2; }));
    const auto version = fleet.version(0, service);
    REQUIRE(agreeOn(fleet, version));

    fleet.log().fault(GENERATE(R"({"mode":"outage"})", R"({"mode":"silent"})"));
    fleet.restartRouter(2);
    CHECK(agreeOn(fleet, version));
    CHECK(eventually([&] { return get(fleet.router(2).admin, "/ready").status == 200; }));
    CHECK(serves(fleet));

    fleet.log().fault(R"({"mode":"none"})");
    REQUIRE(fleet.awaitMembers(3));
    fleet.publish(withReserved(fleet, 0));
    REQUIRE(eventually([&] { return fleet.version(2, service) > version; }));
    CHECK(agreeOn(fleet, fleet.version(2, service)));
}

TEST_CASE("A fleet restarted on a log whose edits are trimmed takes its documents from the snapshots")
{
    auto fleet = Fleet(FleetOptions {});
    REQUIRE(fleet.awaitMembers(3));
    for (auto edit = 0; edit < 6; ++edit)
        fleet.publish(withReserved(fleet, edit % 2));
    const auto edits = fleet.endOfStream("documents");
    REQUIRE(eventually([&] { return fleet.version(0, service) >= 8; }));
    const auto version = fleet.version(0, service);
    REQUIRE(agreeOn(fleet, version));
    const auto document = documentOf(fleet, 0);
    // Records that no snapshot covers are gone from here on: the daemons' memory has to write it.
    fleet.trim("documents", edits);
    const auto written = [&](std::string_view name) {
        const auto read = get(fleet.log().endpoint, "/streams/documents?from=0&max=1000&waitMs=0").body;
        const auto parsed = boost::json::parse(read);
        for (const auto& record : parsed.at("records").as_array()) {
            const auto body = boost::json::parse(record.at("body").as_string());
            if (body.at("type").as_string() == "snapshot" && body.at("service").as_string() == name)
                return true;
        }
        return false;
    };
    REQUIRE(eventually([&] { return written(service) && written("booking"); }));

    fleet.restartAll();
    REQUIRE(fleet.awaitMembers(3));
    CHECK(agreeOn(fleet, version));
    CHECK(documentOf(fleet, 0) == document);
    CHECK(fleet.tryPublish(withReserved(fleet, 1)) == 0);
    CHECK(eventually([&] { return fleet.version(1, service) > version; }));
    CHECK(agreeOn(fleet, fleet.version(1, service)));
}

TEST_CASE("Records on the log that are no valid document are refused by every daemon alike")
{
    auto fleet = Fleet(FleetOptions {});
    REQUIRE(fleet.awaitMembers(3));
    const auto version = fleet.version(0, service);
    const auto document = documentOf(fleet, 0);
    const auto append = [&](const std::string& body) {
        const auto edit
            = boost::json::object { { "type", "edit" }, { "service", service }, { "editId", "bad" },
                  { "base", version }, { "author", "nobody" }, { "kind", "whole" }, { "body", body } };
        post(fleet.log().endpoint, "/streams/documents", boost::json::serialize(edit));
    };
    append("{ no document");
    append(R"({"service":"assistant"})");
    append(fleet.bookingDocument());
    post(fleet.log().endpoint, "/streams/documents", "neither edit nor snapshot");
    const auto end = fleet.endOfStream("documents");
    REQUIRE(eventually([&] {
        for (auto index = std::size_t {}; index < fleet.size(); ++index) {
            if (fleet.statusJson(index).at("documents").at("next").to_number<std::uint64_t>() < end)
                return false;
        }
        return true;
    }));
    CHECK(agreeOn(fleet, version));
    CHECK(documentOf(fleet, 0) == document);
    CHECK(serves(fleet));
    CHECK(fleet.tryPublish(withReserved(fleet, 1)) == 0);
    CHECK(eventually([&] { return fleet.version(0, service) > version; }));
    CHECK(agreeOn(fleet, fleet.version(0, service)));
}

TEST_CASE("A daemon that stood still through edits never shows an older document than it had")
{
    auto fleet = Fleet(FleetOptions {});
    REQUIRE(fleet.awaitMembers(3));
    fleet.publish(withReserved(fleet, 1));
    REQUIRE(eventually([&] { return fleet.version(0, service) > 2; }));
    const auto before = fleet.version(0, service);
    REQUIRE(agreeOn(fleet, before));

    fleet.pauseRouter(2);
    for (auto edit = 0; edit < 3; ++edit)
        fleet.publish(withReserved(fleet, edit % 2));
    REQUIRE(eventually([&] { return fleet.version(0, service) > before + 2; }));
    const auto after = fleet.version(0, service);
    fleet.trim("documents");
    fleet.continueRouter(2);
    auto last = before;
    CHECK(eventually([&] {
        const auto version = fleet.version(2, service);
        CHECK(version >= last);
        last = version;
        return version == after;
    }));
    CHECK(agreeOn(fleet, after));
}
