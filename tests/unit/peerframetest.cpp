#include "peerframe.h"

#include <cstring>

#include <catch2/catch.hpp>

#include "fleet_generated.h"

using namespace camphorshunt;
using namespace camphorshunt::router;

namespace {

/** A frame whose list of reports holds this many zero reports, stored `shift` bytes after an aligned address.
 */
auto frameWithReports(std::uint32_t count, std::size_t shift) -> std::vector<std::uint8_t>
{
    for (auto padding = std::size_t { 0 }; padding < 64; ++padding) {
        auto builder = flatbuffers::FlatBufferBuilder {};
        const auto bytes = std::vector<std::uint8_t>(count * sizeof(fleet::Report));
        const auto stored = builder.CreateVector(bytes);
        builder.CreateVector(std::vector<std::uint8_t>(padding));
        const auto reports = flatbuffers::Offset<flatbuffers::Vector<const fleet::Report*>>(stored.o);
        builder.Finish(fleet::CreateFrame(builder, 0, 0, nullptr, 0, 0, reports));
        auto frame = std::vector<std::uint8_t>(
            builder.GetBufferPointer(), builder.GetBufferPointer() + builder.GetSize());
        const auto* const list = fleet::GetFrame(frame.data())->reports();
        if (reinterpret_cast<std::uintptr_t>(list->Data()) % alignof(fleet::Report) != shift)
            continue;
        const auto at = reinterpret_cast<const std::uint8_t*>(list) - frame.data();
        std::memcpy(frame.data() + at, &count, sizeof(count));
        return frame;
    }
    return {};
}

} // namespace

TEST_CASE("A peer frame with a list of structs that is not aligned is refused and not read")
{
    const auto aligned = decodePeerFrame(frameWithReports(2, 0));
    REQUIRE(aligned);
    CHECK(aligned.value().reports.size() == 2);
    const auto frame = frameWithReports(2, 4);
    REQUIRE(!frame.empty());
    CHECK(!decodePeerFrame(frame));
}

TEST_CASE("A peer frame is read the same at whatever address it begins, with full and with empty lists")
{
    auto frame = PeerFrame {};
    const auto parts = GENERATE(0U, 1U, 2U);
    const auto avoided = GENERATE(0U, 1U, 3U);
    for (auto number = std::uint64_t { 0 }; number < 3; ++number) {
        auto placement = PeerPlacementRequest {};
        placement.request.key.number = number;
        placement.request.prompt.parts.resize(parts);
        placement.request.avoid.resize(avoided);
        frame.placementRequests.push_back(placement);
        frame.placementDecisions.push_back({ number, ServiceId { 1 }, {}, {}, {}, {}, {} });
        frame.reports.push_back({ number, ServiceId { 1 }, PeerReportKind::Started, PlacementEnd::Finished });
    }
    const auto bytes = encodePeerFrame(frame);
    for (auto shift = std::size_t { 0 }; shift < 8; ++shift) {
        auto received = std::vector<std::uint8_t>(shift);
        received.insert(received.end(), bytes.begin(), bytes.end());
        const auto decoded = decodePeerFrame(std::span(received).subspan(shift));
        REQUIRE(decoded);
        CHECK(decoded.value().placementRequests.size() == 3);
        CHECK(decoded.value().placementRequests.back().request.prompt.parts.size() == parts);
        CHECK(decoded.value().placementRequests.back().request.avoid.size() == avoided);
        CHECK(decoded.value().placementDecisions.size() == 3);
        CHECK(decoded.value().reports.size() == 3);
    }
}

TEST_CASE("A peer frame carries what engines say of themselves, and one without it is read as before")
{
    auto frame = PeerFrame {};
    CHECK(decodePeerFrame(encodePeerFrame(frame)).value().availability.empty());
    const auto process
        = UpstreamProcess { UpstreamId { 7 }, std::chrono::milliseconds(1700), { "10.0.0.1", 80 } };
    frame.availability.push_back({ ServiceId { 3 }, process, true, {} });
    frame.availability.push_back({ ServiceId { 3 }, process, false, std::chrono::milliseconds(2500) });
    const auto decoded = decodePeerFrame(encodePeerFrame(frame));
    REQUIRE(decoded);
    REQUIRE(decoded.value().availability.size() == 2);
    const auto& leaving = decoded.value().availability[0];
    CHECK(leaving.service == ServiceId { 3 });
    CHECK(leaving.process == process);
    CHECK(leaving.leaving);
    CHECK(leaving.rest.count() == 0);
    CHECK(!decoded.value().availability[1].leaving);
    CHECK(decoded.value().availability[1].rest.count() == 2500);

    frame.availability.back().process.endpoint = {};
    CHECK(!decodePeerFrame(encodePeerFrame(frame)));
}
