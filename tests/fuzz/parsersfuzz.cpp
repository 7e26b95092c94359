#include <cstdint>
#include <fstream>
#include <functional>
#include <iostream>
#include <random>
#include <span>
#include <sstream>
#include <string>
#include <vector>

#include "camphorshunt/document.h"
#include "camphorshunt/logrecord.h"

#include "framecodec.h"
#include "tracejson.h"

// Feeds randomly changed valid inputs to the parsers of what comes from outside. A parser may refuse or take
// an input; a crash, an abort or a sanitizer's report fails the run. Arguments: seed, rounds for each input.

namespace {

using namespace camphorshunt;

using Parser = std::function<void(const std::string&)>;

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
    const auto news = MemberNews { RouterId { 1 }, Incarnation { 2 }, MemberState::Suspect, 3 };
    const auto version = DocumentVersion { ServiceId { 1 }, {}, {} };
    return { Demand { shard, true, 3, { {}, {} }, { {}, {} } }, Grants { shard, 9, { {}, {}, {} } },
        Ends { shard, { {}, {} }, { {} } }, Totals { shard, 4, { ServiceTotal {}, ServiceTotal {} } },
        Probe { 1, RouterId { 2 }, {}, { news, news }, { version } },
        ProbeAck { 1, RouterId { 2 }, {}, { news }, { version } }, DocumentRequest { ServiceId { 1 }, {} },
        DocumentTransfer { ServiceId { 1 }, {}, {}, "snapshot" }, ClaimsRequest { "claims-0" },
        ClaimsTransfer { "claims-0", {}, "snapshot" } };
}

auto parseFrame(const std::string& bytes) -> void
{
    const auto* const begin = reinterpret_cast<const std::uint8_t*>(bytes.data());
    const auto message = decodeMessage(std::span(begin, bytes.size()));
    if (message)
        encodeMessage(message.value());
}

auto inputs() -> std::vector<Input>
{
    auto all = std::vector<Input> {};
    for (const auto& message : frames()) {
        const auto bytes = encodeMessage(message);
        all.push_back({ std::string(bytes.begin(), bytes.end()), parseFrame });
    }
    const auto parseDocument = [](const std::string& text) { static_cast<void>(Document::parse(text)); };
    for (const auto* const name : { "demo-assistant.json", "demo-booking.json" })
        all.push_back({ readFile(std::string(CAMPHORSHUNT_SAMPLES) + "/" + name), parseDocument });
    all.push_back({ R"({"time":1,"event":{"Tick":{}},"actions":[{"SetReady":{"ready":true}}]})",
        [](const std::string& text) { static_cast<void>(parseTraceLine(text)); } });
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
        if (input.valid.empty()) {
            std::cerr << "a valid input is missing\n";
            return 1;
        }
        for (auto round = std::uint64_t {}; round < rounds; ++round, ++tried)
            input.parse(mutate(input.valid, random));
    }
    std::cout << tried << " inputs parsed\n";
    return 0;
}
