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

/** Waits until all daemons have the same document, with this version. */
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

/** True if every daemon answers a request completely. */
auto serves(Fleet& fleet) -> bool
{
    for (auto index = std::size_t {}; index < fleet.size(); ++index) {
        if (!call(fleet.router(index).callers, Fleet::chat(index, 3)).isComplete())
            return false;
    }
    return true;
}

} // namespace

TEST_CASE(
    "Of two edits published concurrently on one version one is accepted, and every daemon applies that one")
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

TEST_CASE(
    "An edit whose append acknowledgement is lost is applied once, also if it is published again with its id")
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

TEST_CASE("A fleet that restarts without memory reads the same document from the log")
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

TEST_CASE("A daemon that starts during an outage of the log serves with a document from its peers")
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

TEST_CASE("A fleet that restarts after the log has trimmed the edits reads its documents from snapshots")
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
    // The edits are no longer on the log, so the daemons must append snapshots from memory before they
    // restart.
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

TEST_CASE("Every daemon refuses records on the log that are not valid documents")
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

TEST_CASE("A daemon that was paused during edits never goes back to an older document")
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
