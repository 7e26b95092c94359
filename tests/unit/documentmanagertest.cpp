#include "documentmanager.h"

#include <catch2/catch.hpp>

#include "documentfixture.h"

using namespace camphorshunt;
using namespace documentfixture;

namespace {

/** A DocumentManager with its own clock and its position on an in-memory log. */
struct TestRouter {
    explicit TestRouter(std::uint64_t id)
        : manager(DocumentManager::create({ RouterId { id }, Incarnation { id }, 7 }))
    {
    }

    auto read(DocumentLog& log) -> void
    {
        auto actions = Actions();
        manager->handle(now, log.read(position), actions);
        position = log.bodies.size();
    }
    /** Passes time; what is appended lands at once. Returns the number of appends. */
    auto advance(Duration time, DocumentLog& log) -> int
    {
        auto appends = 0;
        for (const auto end = now + time; now < end; now += 100ms) {
            auto actions = Actions();
            manager->tick(now, actions);
            for (const auto& action : actions) {
                if (const auto* const append = std::get_if<AppendLog>(&action)) {
                    log.bodies.push_back(append->body);
                    ++appends;
                }
            }
            read(log);
        }
        return appends;
    }
    /** Tells this router of a peer's versions and brings what it asks for. */
    auto syncFrom(TestRouter& peer) -> int
    {
        auto requests = Actions();
        manager->handlePeerVersions(now, { 9 }, peer.manager->versions(), requests);
        for (const auto& action : requests) {
            auto answers = Actions();
            peer.manager->handle(
                now, { 8 }, std::get<DocumentRequest>(std::get<SendPeer>(action).message), answers);
            for (const auto& answer : answers)
                manager->handle(
                    now, std::get<DocumentTransfer>(std::get<SendPeer>(answer).message), answerActions);
        }
        return static_cast<int>(requests.size());
    }
    auto version() const -> std::uint64_t
    {
        return manager->versions().empty() ? 0 : manager->versions()[0].version.value;
    }

    std::unique_ptr<DocumentManager> manager;
    Time now { 100s };
    std::size_t position {};
    Actions answerActions;
};

} // namespace

TEST_CASE("A document on the log is in force and told as changed once")
{
    auto log = DocumentLog();
    log.add(edit("first", 0, 1));
    auto router = TestRouter(1);
    router.read(log);
    CHECK(router.version() == 1);
    CHECK(router.manager->document(idOf<ServiceId>("s"))->organisations[0].weight == 1);
    CHECK(router.manager->takeChanged() == std::vector { idOf<ServiceId>("s") });
    router.read(log);
    CHECK(router.manager->takeChanged().empty());
}

TEST_CASE("A document is taken from a peer without the log, and asked for once")
{
    auto log = DocumentLog();
    log.add(edit("first", 0, 1));
    auto first = TestRouter(1);
    auto second = TestRouter(2);
    first.read(log);
    CHECK(second.syncFrom(first) == 1);
    CHECK(second.version() == 1);
    CHECK(second.syncFrom(first) == 0);
}

TEST_CASE("A log that has trimmed the document gets a snapshot from a router's memory")
{
    auto log = DocumentLog();
    log.add(edit("first", 0, 1));
    auto router = TestRouter(1);
    router.read(log);
    log.first = log.bodies.size();
    CHECK(router.advance(20s, log) == 1);

    auto fresh = TestRouter(2);
    fresh.read(log);
    CHECK(fresh.version() == 1);
    CHECK(fresh.advance(20s, log) == 0);
}

TEST_CASE("A snapshot is repeated before it grows old, and not while another's is young")
{
    auto log = DocumentLog();
    log.add(edit("first", 0, 1));
    auto router = TestRouter(1);
    auto other = TestRouter(2);
    router.read(log);
    CHECK(router.advance(595s, log) == 0);
    CHECK(router.advance(20s, log) == 1);
    other.read(log);
    CHECK(other.advance(500s, log) == 0);
}

TEST_CASE("A transfer that is not what was announced changes nothing")
{
    auto router = TestRouter(1);
    auto actions = Actions();
    router.manager->handle(
        router.now, DocumentTransfer { idOf<ServiceId>("s"), Offset { 5 }, 1, "nonsense" }, actions);
    CHECK(router.version() == 0);
    CHECK(std::holds_alternative<WriteLog>(actions.at(0)));
}
