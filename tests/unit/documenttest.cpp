#include "camphorshunt/document.h"

#include <fstream>
#include <functional>
#include <sstream>

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <catch2/catch.hpp>

namespace {

using namespace camphorshunt;
namespace json = boost::json;

auto digest(char c) -> std::string { return std::string(64, c); }

/** A small valid document. */
auto base() -> json::value
{
    return json::parse(R"({
        "service": "s", "upstreamKind": "model-engine",
        "organisations": [
            {"name": "a", "weight": 2, "keyDigests": [")"
        + digest('a') + R"("]}, {"name": "b", "keyDigests": [")" + digest('b') + R"("]}],
        "operations": [{"name": "chat"}, {"name": "dossier", "class": "deferrable", "repeatable": false}],
        "upstreams": [
            {"name": "e1", "address": "10.0.0.1:80", "failureDomain": "x", "slots": 4},
            {"name": "e2", "address": "10.0.0.2:80", "failureDomain": "y", "slots": 4}]})");
}

auto parseChanged(const std::function<void(json::value&)>& change) -> Result<Document>
{
    auto value = base();
    change(value);
    return Document::parse(json::serialize(value));
}

auto errorOf(const std::function<void(json::value&)>& change) -> std::string
{
    const auto parsed = parseChanged(change);
    return parsed ? "" : parsed.error().text();
}

/** Sets the value at a JSON pointer whose parent exists. */
auto set(json::value& root, std::string_view pointer, const json::value& value) -> void
{
    const auto slash = pointer.rfind('/');
    auto& parent = root.at_pointer(pointer.substr(0, slash));
    if (parent.is_object())
        parent.as_object()[pointer.substr(slash + 1)] = value;
    else
        parent.as_array().at(std::stoul(std::string(pointer.substr(slash + 1)))) = value;
}

struct Bad {
    std::string pointer;
    std::string value;
    std::string error;
};

auto sample(const std::string& name) -> std::string
{
    auto text = std::ostringstream();
    text << std::ifstream(std::string(CAMPHORSHUNT_SAMPLES) + "/" + name).rdbuf();
    return text.str();
}

} // namespace

TEST_CASE("A document that ends at the start of a comment is refused")
{
    for (const auto* const text : { "/", " /", "// a\n/" }) {
        CAPTURE(text);
        const auto parsed = Document::parse(text);
        REQUIRE(parsed.has_error());
        CHECK(parsed.error().text().find("is no JSON") != std::string::npos);
    }
}

TEST_CASE("A document truncated at any byte is refused with the line, also inside a comment")
{
    const auto whole
        = std::string("{\n  // first\n  /* second */ \"service\": \"a\", \"x\": [1, \"\\u00e9\"]\n} // end");
    for (auto length = std::size_t {}; length < whole.find('}'); ++length) {
        CAPTURE(length);
        const auto parsed = Document::parse(std::string_view(whole).substr(0, length));
        REQUIRE(parsed.has_error());
        CHECK(parsed.error().text().find("is no JSON") != std::string::npos);
        CHECK(parsed.error().text().find("line ") != std::string::npos);
    }
}

TEST_CASE("All fields of a document are read, and missing ones have their defaults")
{
    const auto document = Document::parse("// comment\n" + json::serialize(base()) + "/* end */").value();
    CHECK(document.id == idOf<ServiceId>("s"));
    CHECK(document.organisation(idOf<OrganisationId>("a"))->weight == 2);
    CHECK(document.organisationByKeyDigest(digest('b'))->name == "b");
    CHECK(document.organisationByKeyDigest(digest('c')) == nullptr);
    CHECK(document.operation("dossier")->requestClass == RequestClass::Deferrable);
    CHECK_FALSE(document.operation("dossier")->repeatable);
    CHECK(document.operation("none") == nullptr);
    CHECK(document.upstream(idOf<UpstreamId>("e2"))->endpoint.text() == "10.0.0.2:80");
    CHECK(document.limits.keyWindow == 3600s);
    CHECK(document.dispatch.policy == "fair");
}

TEST_CASE("Upstreams are assigned to shards by their position in the document")
{
    const auto document = parseChanged([](auto& value) {
        value.as_object()["dispatch"] = { { "shards", 2 } };
    }).value();
    CHECK(document.shardOf(idOf<UpstreamId>("e1")) == 0);
    CHECK(document.shardOf(idOf<UpstreamId>("e2")) == 1);
}

TEST_CASE("A document that was not parsed, and so has no index, can be searched")
{
    auto document = Document();
    document.organisations.push_back({ "a", idOf<OrganisationId>("a"), 1, { digest('a') } });
    CHECK(document.organisationByKeyDigest(digest('a'))->name == "a");
    CHECK(document.organisation(idOf<OrganisationId>("b")) == nullptr);
}

TEST_CASE("An invalid document is refused with the path, the value and what is allowed")
{
    const auto cases = std::vector<Bad> {
        { "/organisations/1/weight", "-1",
            "organisations[1].weight: -1 is not allowed; give a number above 0 and at most 1000000" },
        { "/organisations/1/weight", "0", "organisations[1].weight: 0 is" },
        { "/organisations/0/weight", R"("x")", "organisations[0].weight: \"x\" is" },
        { "/organisations/0/weight", "1e300", "organisations[0].weight: 1E300 is" },
        { "/organisations/0/wieght", "1",
            "organisations[0].wieght: unknown field with value 1; allowed are name" },
        { "/organisations/1/name", R"("a")",
            "organisations[1].name: \"a\" is not allowed; its hash is already" },
        { "/organisations/1/name", R"("a/b")",
            "organisations[1].name: \"a/b\" is not allowed; give a name of" },
        { "/organisations/1/keyDigests/0", '"' + digest('A') + '"',
            "give the key's SHA-256 as 64 lower-case hex digits" },
        { "/organisations/1/keyDigests/0", '"' + digest('a') + '"',
            "organisations[0].keyDigests has it already" },
        { "/organisations", "[]", "organisations: a list of 0 is not allowed; give a list of 1 to" },
        { "/operations", "[]", "operations: a list of 0 is not allowed" },
        { "/operations/0/class", R"("slow")",
            "operations[0].class: \"slow\" is not allowed; give \"interactive\" or \"deferrable\"" },
        { "/upstreams/0/address", R"("localhost:80")",
            "upstreams[0].address: 'localhost:80' is not an IP number" },
        { "/upstreams/0/address", R"("10.0.0.1:0")", "upstreams[0].address: '10.0.0.1:0' is not allowed" },
        { "/upstreams/1/address", R"("10.0.0.1:80")",
            "upstreams[1].address: \"10.0.0.1:80\" is not allowed" },
        { "/upstreams/0/slots", "0",
            "upstreams[0].slots: 0 is not allowed; give a whole number from 1 to 65536" },
        { "/upstreams/0/slots", "1.5", "upstreams[0].slots: 1.5E0 is" },
        { "/limits", R"({"defaultDeadlineMs": 700000})",
            "limits.defaultDeadlineMs: 700000 is not allowed; give at most limits.longestDeadlineMs, "
            "600000" },
        { "/limits", R"({"queueTotal": 10})", "limits.queuePerOrganisation: 1000 is" },
        { "/dispatch", R"({"shards": 3})",
            "dispatch.shards: 3 is not allowed; give at most the number of upstreams, 2" },
        { "/dispatch", R"({"reservedSlots": 8})", "dispatch.reservedSlots: 8 is not allowed" },
        { "/service", R"("")", "service: \"\" is not allowed" },
    };
    for (const auto& bad : cases) {
        const auto error = errorOf([&](auto& value) { set(value, bad.pointer, json::parse(bad.value)); });
        INFO(bad.pointer << " gives " << error);
        CHECK(error.find(bad.error) != std::string::npos);
    }
}

TEST_CASE("A missing field is refused with its path, and malformed JSON with its line")
{
    CHECK(errorOf([](auto& value) { value.as_object().erase("service"); }) == "service: is missing");
    CHECK(errorOf([](auto& value) { value.at("upstreams").at(1).as_object().erase("slots"); })
        == "upstreams[1].slots: is missing");
    CHECK(Document::parse("{\n\n  \"service\" }").error().text().starts_with("document: line 3 is no JSON"));
    CHECK(Document::parse("{} {}").has_error());
    CHECK(Document::parse("[]").error().text().starts_with("document: a list of 0 is not allowed"));
    CHECK(Document::parse("").has_error());
    CHECK(Document::parse(std::string(5000000, ' ')).has_error());
}

TEST_CASE("The sample documents are valid")
{
    for (const auto* name : { "plinara-assistant", "plinara-booking", "breslasii-contracts",
             "breslasii-registry", "demo-assistant", "demo-booking" }) {
        const auto parsed = Document::parse(sample(std::string(name) + ".json"));
        INFO(name << ": " << (parsed ? "" : parsed.error().text()));
        REQUIRE(parsed);
        CHECK(parsed.value().service.size() > 1);
    }
}
