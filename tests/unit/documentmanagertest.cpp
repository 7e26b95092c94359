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
    /** Advances the clock in ticks of 100 ms. Appends land immediately. Returns the number of appends. */
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
    /**
     * Passes a peer's versions to this router and the peer's answers to its requests. Returns the number
     * of requests.
     */
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

TEST_CASE("A document read from the log is in force and reported as changed once")
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

TEST_CASE("A router without the log gets a document from a peer with one request")
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

TEST_CASE("A router appends a snapshot of a document whose records the log has trimmed")
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

TEST_CASE(
    "A snapshot is appended again after the snapshot interval, and not while another router's is recent")
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

TEST_CASE("A transfer with an invalid snapshot is refused and logged")
{
    auto router = TestRouter(1);
    auto actions = Actions();
    router.manager->handle(
        router.now, DocumentTransfer { idOf<ServiceId>("s"), Offset { 5 }, 1, "nonsense" }, actions);
    CHECK(router.version() == 0);
    CHECK(std::holds_alternative<WriteLog>(actions.at(0)));
}
