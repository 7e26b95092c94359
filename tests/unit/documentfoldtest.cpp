#include "documentfold.h"

#include <array>

#include <boost/json/parse.hpp>
#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include "documentfixture.h"
#include "documentjson.h"

using namespace camphorshunt;
using namespace documentfixture;

namespace {

auto weightOf(const DocumentFold& fold) -> double
{
    return fold.find("s")->document->organisations[0].weight;
}

auto versionOf(const DocumentFold& fold, std::string_view service = "s") -> std::uint64_t
{
    const auto* const found = fold.find(service);
    return found == nullptr ? 0 : found->version.value;
}

struct Step {
    unsigned kind {};
    unsigned reader {};
    unsigned choice {};
};

auto showValue(const Step& step, std::ostream& out) -> void
{
    out << '{' << step.kind << ',' << step.reader << ',' << step.choice << '}';
}

constexpr std::size_t readerCount = 3;
const auto services = std::array<std::string, 2> { "s", "t" };

/**
 * Three readers under concurrent edits, snapshots, restarts, trims and transfers between peers. They are
 * compared with reference folds that read every record of an untrimmed log.
 */
class World {
public:
    auto run(const Step& step) -> void
    {
        auto& reader = readers_[step.reader];
        if (step.kind < 6)
            return add(reader, step.choice);
        if (step.kind < 12)
            return reader.apply(log_.read(reader.next().value, 1 + step.choice % 4));
        if (step.kind < 14)
            return addSnapshot(reader, step.choice);
        if (step.kind < 15) {
            reader = DocumentFold();
            inForce_[step.reader] = {};
            return;
        }
        if (step.kind < 17) {
            log_.first += step.choice % (1 + log_.bodies.size() - log_.first);
            return;
        }
        syncFromPeer(reader, readers_[step.choice % readerCount]);
    }

    auto check() -> void
    {
        reference_.apply(untrimmed_.read(reference_.next().value));
        for (auto s = std::size_t { 0 }; s < services.size(); ++s) {
            recordHistory(s);
            for (auto i = std::size_t { 0 }; i < readerCount; ++i)
                checkReader(readers_[i], i, s);
        }
    }

private:
    auto add(const DocumentFold& seen, unsigned choice) -> void
    {
        const auto& service = services[choice % 2];
        const auto base = choice % 5 == 0 ? choice % 7 : versionOf(seen, service);
        auto record = edit("e" + std::to_string(choice % 50), base, static_cast<int>(choice % 9), service);
        if (choice % 3 == 0) {
            record.kind = EditKind::Patch;
            record.body = R"({"limits":{"queueTotal":)" + std::to_string(2000 + choice) + "}}";
        }
        append(encodeRecord(record));
    }
    auto addSnapshot(const DocumentFold& fold, unsigned choice) -> void
    {
        const auto& service = services[choice % 2];
        if (fold.find(service) != nullptr)
            append(encodeRecord(fold.snapshot(service)));
    }
    auto append(std::string text) -> void
    {
        log_.bodies.push_back(text);
        untrimmed_.bodies.push_back(std::move(text));
    }
    static auto syncFromPeer(DocumentFold& reader, const DocumentFold& peer) -> void
    {
        for (const auto* service : peer.services())
            (void)reader.applySnapshot(peer.snapshot(service->service));
    }

    auto recordHistory(std::size_t s) -> void
    {
        // This reference reads one record at a time, which gives the version after each record.
        for (auto offset = history_[s].size(); offset <= untrimmed_.bodies.size(); ++offset) {
            if (offset > 0)
                steppedReference_[s].apply(untrimmed_.read(offset - 1, 1));
            history_[s].push_back(versionOf(steppedReference_[s], services[s]));
        }
    }
    auto checkReader(const DocumentFold& reader, std::size_t i, std::size_t s) -> void
    {
        const auto version = versionOf(reader, services[s]);
        RC_ASSERT(version >= inForce_[i][s]);
        inForce_[i][s] = version;
        RC_ASSERT(version <= versionOf(reference_, services[s]));
        if (version != 0) {
            RC_ASSERT(std::find(history_[s].begin(), history_[s].end(), version) != history_[s].end());
            if (version == versionOf(reference_, services[s]))
                RC_ASSERT(reader.find(services[s])->body == reference_.find(services[s])->body);
        }
        const auto next = reader.next().value;
        if (reader.isExact(services[s]) && version <= next)
            RC_ASSERT(version == history_[s][next]);
    }

    DocumentLog log_;
    DocumentLog untrimmed_;
    DocumentFold reference_;
    std::array<DocumentFold, 2> steppedReference_;
    std::array<std::vector<std::uint64_t>, 2> history_;
    std::array<DocumentFold, readerCount> readers_;
    std::array<std::array<std::uint64_t, 2>, readerCount> inForce_ {};
};

} // namespace

TEST_CASE("A merge patch sets, removes and nests fields as in RFC 7396")
{
    struct Example {
        const char* target;
        const char* patch;
        const char* result;
    };
    const auto examples = std::vector<Example> {
        { R"({"a":"b"})", R"({"a":"c"})", R"({"a":"c"})" },
        { R"({"a":"b","b":"c"})", R"({"a":null})", R"({"b":"c"})" },
        { R"({"a":["b"]})", R"({"a":"c"})", R"({"a":"c"})" },
        { R"({"a":{"b":"c"}})", R"({"a":{"b":"d","c":null}})", R"({"a":{"b":"d"}})" },
        { R"({"a":"foo"})", "null", "null" },
        { R"([1,2])", R"({"a":"b","c":null})", R"({"a":"b"})" },
        { R"({})", R"({"a":{"bb":{"ccc":null}}})", R"({"a":{"bb":{}}})" },
    };
    for (const auto& example : examples) {
        auto target = boost::json::parse(example.target);
        applyMergePatch(target, boost::json::parse(example.patch));
        CHECK(target == boost::json::parse(example.result));
    }
}

TEST_CASE("Of two edits on one version the first on the log is accepted, and both outcomes are reported")
{
    auto log = DocumentLog();
    log.add(edit("first", 0, 1));
    log.add(edit("second", 1, 2));
    log.add(edit("third", 1, 3));
    log.add(edit("second", 1, 2));
    auto fold = DocumentFold();
    fold.apply(log.read(0));
    CHECK(versionOf(fold) == 2);
    CHECK(weightOf(fold) == 2);
    REQUIRE(fold.outcomes().size() == 3);
    CHECK(fold.outcomes()[1].version.value == 2);
    CHECK(fold.outcomes()[2].refusal == "conflict: based on version 1, but version 2 was in force");
}

TEST_CASE("An invalid edit, a patch without a document and a document of another service are refused")
{
    auto log = DocumentLog();
    log.add(patch("early", 0, "{}"));
    log.add(edit("good", 0, 1));
    log.add(patch("bad", 2, R"({"organisations":[]})"));
    auto other = edit("other", 2, 1);
    other.body = body("t", 1);
    log.add(other);
    log.bodies.emplace_back("no json");
    log.add(patch("patched", 2, R"({"limits":{"queueTotal":5000}})"));
    auto fold = DocumentFold();
    fold.apply(log.read(0));
    CHECK(versionOf(fold) == 6);
    CHECK(fold.find("s")->document->limits.queueTotal == 5000);
    CHECK(fold.outcomes()[2].refusal.starts_with("organisations: a list of 0 is not allowed"));
}

TEST_CASE("A reader that starts after a trim defers edits until a snapshot")
{
    auto log = DocumentLog();
    log.add(edit("first", 0, 1));
    log.add(edit("second", 1, 2));
    auto whole = DocumentFold();
    whole.apply(log.read(0));
    const auto snapshot = whole.snapshot("s");
    log.add(edit("stale", 1, 3));
    log.add(edit("third", 2, 4));
    log.first = 2;

    auto late = DocumentFold();
    late.apply(log.read(0));
    CHECK(versionOf(late) == 0);
    CHECK_FALSE(late.isExact("s"));
    log.add(snapshot);
    late.apply(log.read(4));
    CHECK(late.isExact("s"));
    CHECK(versionOf(late) == 4);
    CHECK(late.isComplete());
}

TEST_CASE("A reader that has the list of services from a peer accepts the first edit of a new service")
{
    auto log = DocumentLog();
    log.add(edit("first", 0, 1));
    auto whole = DocumentFold();
    whole.apply(log.read(0));
    log.first = 1;
    auto late = DocumentFold();
    late.apply(log.read(0));
    CHECK(late.applySnapshot(whole.snapshot("s")).value());
    log.add(edit("new", 0, 1, "t"));
    late.apply(log.read(1));
    CHECK(versionOf(late, "t") == 2);
}

TEST_CASE("A peer's snapshot is refused if it is older, does not match its digest or is invalid")
{
    auto log = DocumentLog();
    log.add(edit("first", 0, 1));
    auto fold = DocumentFold();
    fold.apply(log.read(0));
    const auto older = fold.snapshot("s");
    log.add(edit("second", 1, 2));
    fold.apply(log.read(1));
    CHECK(fold.applySnapshot(older).has_error());
    CHECK(weightOf(fold) == 2);

    auto broken = fold.snapshot("s");
    broken.body = body("s", 9);
    CHECK(DocumentFold().applySnapshot(broken).error().field == "digest");
    broken.digest = documentDigest(broken.body);
    CHECK(fold.applySnapshot(broken).error().field == "digest");
    auto invalid = fold.snapshot("s");
    invalid.version = invalid.asOf = Offset { 9 };
    invalid.body = "{}";
    invalid.digest = documentDigest(invalid.body);
    CHECK(fold.applySnapshot(invalid).has_error());
}

TEST_CASE("All readers agree on one sequence of versions, and none goes back to an older version")
{
    CHECK(rc::check([] {
        const auto step = rc::gen::construct<Step>(rc::gen::inRange(0U, 19U),
            rc::gen::inRange(0U, unsigned { readerCount }), rc::gen::inRange(0U, 1000U));
        auto world = World();
        for (const auto& chosen : *rc::gen::scale(2.0, rc::gen::container<std::vector<Step>>(step))) {
            world.run(chosen);
            world.check();
        }
    }));
}
