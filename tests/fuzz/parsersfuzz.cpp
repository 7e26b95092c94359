#include <cstdint>
#include <cstdlib>
#include <fstream>
#include <functional>
#include <iostream>
#include <optional>
#include <random>
#include <span>
#include <sstream>
#include <string>
#include <vector>

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include "camphorshunt/document.h"
#include "camphorshunt/logrecord.h"

#include "answerintake.h"
#include "framecodec.h"
#include "peerframe.h"
#include "tracejson.h"

#include "platform/callerwire.h"
#include "platform/configuration.h"
#include "platform/directoryentry.h"
#include "platform/enginewire.h"
#include "platform/storeformat.h"

// Feeds randomly mutated valid inputs to the parsers of external data. A parser may accept or refuse an
// input; a crash, an abort or a sanitizer report fails the run. Arguments: seed, rounds for each valid input.

namespace {

using namespace camphorshunt;

/** True if the parser accepted the input. */
using Parser = std::function<bool(const std::string&)>;

struct Input {
    std::string valid;
    Parser parse;
};

auto mutate(std::string text, std::mt19937_64& random) -> std::string
{
    const auto changes = 1 + random() % 8;
    for (auto change = std::uint64_t {}; change < changes && !text.empty(); ++change) {
        const auto place = random() % text.size();
        const auto length = std::min<std::size_t>(1 + random() % 16, text.size() - place);
        switch (random() % 5) {
        case 0:
            text[place] = static_cast<char>(text[place] ^ (1U << (random() % 8)));
            break;
        case 1:
            text[place] = static_cast<char>(random());
            break;
        case 2:
            text.erase(place, length);
            break;
        case 3:
            text.insert(random() % text.size(), text.substr(place, length));
            break;
        default:
            text.resize(place);
        }
    }
    return text;
}

auto readFile(const std::string& path) -> std::string
{
    const auto file = std::ifstream(path, std::ios::binary);
    auto text = std::ostringstream {};
    text << file.rdbuf();
    return text.str();
}

auto frames() -> std::vector<PeerMessage>
{
    const auto shard = ShardId { ServiceId { 1 }, 2 };
    const auto update = MemberUpdate { RouterId { 1 }, Incarnation { 2 }, MemberState::Suspect, 3 };
    const auto version = DocumentVersion { ServiceId { 1 }, {}, {} };
    return { Demand { shard, true, 3, { {}, {} }, { {}, {} } }, Grants { shard, 9, { {}, {}, {} } },
        Ends { shard, { {}, {} }, { {} } },
        Totals { shard, Incarnation { 4 }, { ServiceTotal {}, ServiceTotal {} } },
        Probe { 1, RouterId { 2 }, {}, { update, update }, { version } },
        ProbeAck { 1, RouterId { 2 }, {}, { update }, { version } }, DocumentRequest { ServiceId { 1 }, {} },
        DocumentTransfer { ServiceId { 1 }, {}, {}, "snapshot" }, ClaimsRequest { "claims-0" },
        ClaimsTransfer { "claims-0", {}, "snapshot" } };
}

auto bytesOf(const std::string& text) -> std::span<const std::uint8_t>
{
    return { reinterpret_cast<const std::uint8_t*>(text.data()), text.size() };
}

auto parseFrame(const std::string& bytes) -> bool
{
    const auto message = decodeMessage(bytesOf(bytes));
    if (message)
        encodeMessage(message.value());
    return static_cast<bool>(message);
}

/** The whole message that the text holds, as HTTP; none if it is not one. */
template <bool isRequest>
auto readHttp(const std::string& text)
    -> std::optional<boost::beast::http::message<isRequest, boost::beast::http::string_body>>
{
    namespace http = boost::beast::http;
    auto parser = http::parser<isRequest, http::string_body> {};
    parser.eager(true);
    auto error = boost::beast::error_code {};
    parser.put(boost::asio::buffer(text), error);
    if (error || !parser.is_done())
        return std::nullopt;
    return parser.release();
}

auto parseCallerRequest(const std::string& text) -> bool
{
    const auto message = readHttp<true>(text);
    return message && !platform::readCallerRequest(message->base()).attempt.empty();
}

/** An upstream's answer as it is relayed, its body in two pieces. */
auto parseAnswer(const std::string& text) -> bool
{
    const auto message = readHttp<false>(text);
    if (!message)
        return false;
    auto route = Route {};
    route.kind = RequestKind::Stream;
    route.resumable = true;
    auto intake = router::AnswerIntake {};
    const auto head = intake.consumeHead(message->base(), { "a1", route });
    if (head != router::AnswerIntake::Head::Accepted)
        return false;
    const auto body = std::string_view(message->body());
    intake.consumeBody(body.substr(0, body.size() / 2));
    intake.consumeBody(body.substr(body.size() / 2));
    intake.finish();
    return intake.hasBegun();
}

/** An upstream's refusal that says when the upstream can serve again. */
auto parseRefusal(const std::string& text) -> bool
{
    const auto message = readHttp<false>(text);
    if (!message)
        return false;
    const auto answer = platform::readEngineAnswer(message->base());
    // A rest of any other length would not be bounded.
    if (answer.rest && (answer.rest->count() <= 0 || *answer.rest > platform::maxRest))
        std::abort();
    return answer.leaving && answer.rest;
}

auto parsePeerFrame(const std::string& bytes) -> bool
{
    const auto frame = router::decodePeerFrame(bytesOf(bytes));
    if (frame)
        router::encodePeerFrame(frame.value());
    return static_cast<bool>(frame);
}

auto peerFrame() -> std::string
{
    auto frame = router::PeerFrame {};
    frame.members = { "10.0.0.1:80", "10.0.0.2:80" };
    frame.placementRequests.emplace_back();
    frame.placementRequests.back().request.prompt.parts = { { 7, 300 }, { 8, 20 } };
    frame.placementDecisions.emplace_back();
    frame.reports.emplace_back();
    frame.directory
        = router::DirectoryPage { true, 3, 5, { { "i-1", "{}", 3 }, { "i-2", std::nullopt, 4 } } };
    frame.configuration = "{}";
    frame.availability.push_back({ ServiceId { 1 }, { UpstreamId { 2 }, {}, { "10.0.0.9", 80 } }, true,
        std::chrono::milliseconds(2500) });
    frame.hello = router::PeerHello { "10.0.0.3:80", 7, 0.5, 9 };
    frame.heartbeat = router::PeerHeartbeat { 3, 5, true, false };
    frame.addresses = { { "10.0.0.4:80", 0.25, 8 } };
    frame.presence = router::PeerPresence { 3, std::chrono::milliseconds(120), {}, true };
    frame.clock = router::PeerClock { 7, 5, std::chrono::milliseconds(20) };
    const auto bytes = router::encodePeerFrame(frame);
    return { bytes.begin(), bytes.end() };
}

/** Inputs that a router receives from the platform, callers, upstreams and other routers. */
auto routerInputs() -> std::vector<Input>
{
    const auto read = std::string("\0\0\0\0\0\0\0\7\0\0\0\0\0\0\0\0", 16)
        + platform::encodeKeyed("config", "{}") + platform::encodeKeyed("i-1", "");
    return {
        { R"({"version":7,"routes":[{"name":"r1","host":"h","path_prefix":"/a/","kind":"stream",
            "timeout_ms":15000,"latency_goal_ms":800,"priority":1,"traffic_split":[{"service":"s1","weight":9}],
            "attempts":1,"public":false,"resumable":true}],"services":[{"name":"s1","max_connections":290,
            "engine":{"slots":48,"kv_capacity":676342,"kv_token_bytes":163840,"link_mbps":740000.0}}],
            "limits":{"max_header_bytes":100},"tenants":[{"name":"t","api_keys":["k1"],"priority":0}]})",
            [](const std::string& text) { return static_cast<bool>(platform::decodeConfiguration(text)); } },
        { R"({"service":"s","address":"10.0.0.9:8080","zone":"z","slots":48,"state":"ready","born":17905})",
            [](const std::string& text) {
                return static_cast<bool>(platform::decodeDirectoryEntry("i-1", text));
            } },
        { read, [](const std::string& text) { return static_cast<bool>(platform::decodeRead(text, 3)); } },
        { R"({"end":9,"has_more":true,"items":[{"key":"config","offset":4,"value":"e30="}]})",
            [](const std::string& text) { return static_cast<bool>(platform::decodeNewest(text)); } },
        { "POST /a/b?x=1 HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer k1\r\nX-Attempt-Id: a1\r\n"
          "X-Deadline-Ms: 900\r\nX-Token-Count: 320,40\r\nX-Prompt-Prefix: 7f:300,8:20\r\n"
          "X-Length-Hint: 30\r\nContent-Length: 2\r\n\r\nab",
            parseCallerRequest },
        { "HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\nX-Response-Signature: s\r\nKeep-Alive: timeout=5\r\n"
          "Content-Length: 41\r\n\r\nid: 1\ndata: x\n\nid: 2\r\ndata: y\r\n\r\nid: 3\nda",
            parseAnswer },
        { "HTTP/1.1 503 Busy\r\nX-Attempt-Id: a1\r\nX-Not-Executed: 1\r\nServer-Leaving: 1\r\n"
          "Retry-After: 12.25\r\nContent-Length: 0\r\n\r\n",
            parseRefusal },
        { "HTTP/1.1 503 Busy\r\nServer-Leaving: 1\r\nDate: Sun, 06 Nov 1994 08:49:35 GMT\r\n"
          "Retry-After: Sun, 06 Nov 1994 08:49:37 GMT\r\nContent-Length: 0\r\n\r\n",
            parseRefusal },
        { peerFrame(), parsePeerFrame },
    };
}

auto inputs() -> std::vector<Input>
{
    auto all = routerInputs();
    for (const auto& message : frames()) {
        const auto bytes = encodeMessage(message);
        all.push_back({ std::string(bytes.begin(), bytes.end()), parseFrame });
    }
    const auto parseDocument
        = [](const std::string& text) { return static_cast<bool>(Document::parse(text)); };
    for (const auto* const name : { "demo-assistant.json", "demo-booking.json" })
        all.push_back({ readFile(std::string(CAMPHORSHUNT_SAMPLES) + "/" + name), parseDocument });
    all.push_back({ R"({"time":1,"event":{"Tick":{}},"actions":[{"SetReady":{"ready":true}}]})",
        [](const std::string& text) { return static_cast<bool>(parseTraceLine(text)); } });
    return all;
}

} // namespace

auto main(int argc, char** argv) -> int
{
    if (argc != 3) {
        std::cerr << "usage: parsersfuzz SEED ROUNDS\n";
        return 2;
    }
    auto random = std::mt19937_64(std::stoull(argv[1]));
    const auto rounds = std::stoull(argv[2]);
    auto tried = std::uint64_t {};
    for (const auto& input : inputs()) {
        if (!input.parse(input.valid)) {
            std::cerr << "valid input is missing or its parser refused it: " << input.valid.substr(0, 60)
                      << "\n";
            return 1;
        }
        for (auto round = std::uint64_t {}; round < rounds; ++round, ++tried)
            input.parse(mutate(input.valid, random));
    }
    std::cout << tried << " inputs parsed\n";
    return 0;
}
