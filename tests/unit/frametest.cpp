#include "framecodec.h"

#include <cmath>
#include <iostream>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include "framereader.h"

using namespace camphorshunt;

namespace {

template <typename IdType> auto anyId() -> IdType { return { *rc::gen::arbitrary<std::uint64_t>() }; }

auto anyCount() -> std::uint32_t { return *rc::gen::arbitrary<std::uint32_t>(); }

auto anyUnits() -> double { return static_cast<double>(anyCount()) / 8.0; }

auto anyClass() -> RequestClass
{
    return *rc::gen::element(RequestClass::Interactive, RequestClass::Deferrable);
}

auto anyShard() -> ShardId { return { anyId<ServiceId>(), anyCount() }; }

template <typename Make> auto anyList(Make make)
{
    auto list = std::vector<decltype(make())> {};
    for (auto left = *rc::gen::inRange(0, 5); left > 0; --left)
        list.push_back(make());
    return list;
}

auto anyUpdate() -> MemberUpdate
{
    const auto state = *rc::gen::element(
        MemberState::Alive, MemberState::Suspect, MemberState::Dead, MemberState::Draining);
    return { anyId<RouterId>(), anyId<Incarnation>(), state, anyCount() };
}

auto anyVersion() -> DocumentVersion
{
    return { anyId<ServiceId>(), anyId<Offset>(), *rc::gen::arbitrary<std::uint64_t>() };
}

template <typename Message> auto anyProbe() -> Message
{
    return { *rc::gen::arbitrary<std::uint64_t>(), anyId<RouterId>(), anyId<RouterId>(), anyList(anyUpdate),
        anyList(anyVersion) };
}

auto anyText() -> std::string { return *rc::gen::arbitrary<std::string>(); }

auto anyMessage(std::size_t kind) -> PeerMessage
{
    switch (kind) {
    case 0:
        return Demand { anyShard(), anyCount() % 2 == 0, *rc::gen::arbitrary<std::uint64_t>(), anyList([] {
                           return DemandEntry { anyId<OrganisationId>(), anyClass(), anyCount(), anyCount() };
                       }),
            anyList([] {
                return HeldSlot { anyId<GrantId>(), anyId<OrganisationId>(), anyClass(), anyId<UpstreamId>(),
                    anyUnits() };
            }) };
    case 1:
        return Grants { anyShard(), *rc::gen::arbitrary<std::uint64_t>(),
            anyList([] {
                return Grant { anyId<GrantId>(), anyId<OrganisationId>(), anyClass(), anyId<UpstreamId>() };
            }) };
    case 2:
        return Ends { anyShard(), anyList([] {
                         return SlotEnd { anyId<GrantId>(), anyId<OrganisationId>(), anyId<UpstreamId>(),
                             anyUnits(), anyCount() % 2 == 0 };
                     }),
            anyList([] {
                return Charge { anyId<GrantId>(), anyUnits() };
            }) };
    case 3:
        return Totals { anyShard(), anyId<Incarnation>(), anyList([] {
                           return ServiceTotal { anyId<OrganisationId>(), anyUnits() };
                       }) };
    case 4:
        return anyProbe<Probe>();
    case 5:
        return anyProbe<ProbeAck>();
    case 6:
        return DocumentRequest { anyId<ServiceId>(), anyId<Offset>() };
    case 7:
        return DocumentTransfer { anyId<ServiceId>(), anyId<Offset>(), 7, anyText() };
    case 8:
        return ClaimsRequest { anyText() };
    default:
        return ClaimsTransfer { anyText(), anyId<Offset>(), anyText() };
    }
}

auto anyMessage() -> PeerMessage
{
    return anyMessage(*rc::gen::inRange<std::size_t>(0, std::variant_size_v<PeerMessage>));
}

} // namespace

TEST_CASE("Peer messages are unchanged by encoding and decoding")
{
    // Encoding depends only on the fields, so equal bytes after a second encoding, together with the
    // field checks below, mean equal messages.
    CHECK(rc::check([] {
        const auto message = anyMessage();
        const auto bytes = encodeMessage(message);
        const auto decoded = decodeMessage(bytes);
        RC_ASSERT(decoded.has_value());
        RC_ASSERT(decoded.value().index() == message.index());
        RC_ASSERT(encodeMessage(decoded.value()) == bytes);
    }));

    const auto demand = Demand { { { 1 }, 2 }, true, 3, { { { 4 }, RequestClass::Deferrable, 5, 6 } },
        { { { 7 }, { 8 }, RequestClass::Deferrable, { 9 }, 10.5 } } };
    const auto decoded = std::get<Demand>(decodeMessage(encodeMessage(demand)).value());
    CHECK(decoded.shard == demand.shard);
    CHECK((decoded.full && decoded.grantsSeen == 3));
    CHECK((decoded.entries.at(0).waiting == 5 && decoded.entries.at(0).headUnits == 6));
    CHECK(decoded.entries.at(0).requestClass == RequestClass::Deferrable);
    CHECK((decoded.held.at(0).upstream.value == 9 && decoded.held.at(0).chargedUnits == 10.5));

    const auto ends = Ends { { { 1 }, 2 }, { { { 3 }, { 4 }, { 5 }, 6.5, true } }, { { { 7 }, 8.5 } } };
    const auto end = std::get<Ends>(decodeMessage(encodeMessage(ends)).value());
    CHECK((end.ends.at(0).organisation.value == 4 && end.ends.at(0).upstream.value == 5));
    CHECK((end.ends.at(0).totalUnits == 6.5 && end.ends.at(0).unused));
    CHECK((end.charges.at(0).grant.value == 7 && end.charges.at(0).totalUnits == 8.5));

    const auto probe
        = Probe { 1, { 2 }, { 3 }, { { { 4 }, { 5 }, MemberState::Draining, 6 } }, { { { 7 }, { 8 }, 9 } } };
    const auto probed = std::get<Probe>(decodeMessage(encodeMessage(probe)).value());
    CHECK((probed.sequence == 1 && probed.target.value == 2 && probed.relayFor.value == 3));
    CHECK((probed.news.at(0).incarnation.value == 5 && probed.news.at(0).refutation == 6));
    CHECK(probed.news.at(0).state == MemberState::Draining);
    CHECK((probed.versions.at(0).version.value == 8 && probed.versions.at(0).digest == 9));
}

TEST_CASE("Malformed messages are refused and never read out of bounds")
{
    CHECK(decodeMessage({}).has_error());
    CHECK(rc::check([] {
        const auto noise = *rc::gen::arbitrary<std::vector<std::uint8_t>>();
        RC_ASSERT(decodeMessage(noise).has_error());
    }));
    CHECK(rc::check([] {
        auto bytes = encodeMessage(anyMessage());
        bytes.resize(*rc::gen::inRange<std::size_t>(0, bytes.size()));
        const auto decoded = decodeMessage(bytes);
        if (decoded)
            encodeMessage(decoded.value());
    }));
    CHECK(rc::check([] {
        auto bytes = encodeMessage(anyMessage());
        for (auto flips = *rc::gen::inRange(1, 4); flips > 0; --flips)
            bytes[*rc::gen::inRange<std::size_t>(0, bytes.size())] ^= 1U << *rc::gen::inRange(0U, 8U);
        const auto decoded = decodeMessage(bytes);
        if (decoded)
            encodeMessage(decoded.value());
    }));
}

TEST_CASE("Values out of range in a message are refused")
{
    const auto badClass = static_cast<RequestClass>(2);
    CHECK(decodeMessage(encodeMessage(Demand { {}, false, 0, { { {}, badClass, 1, 1 } }, {} })).has_error());
    CHECK(decodeMessage(encodeMessage(Grants { {}, 1, { { {}, {}, badClass, {} } } })).has_error());
    const auto badState = static_cast<MemberState>(4);
    CHECK(decodeMessage(encodeMessage(Probe { 1, {}, {}, { { {}, {}, badState, 0 } }, {} })).has_error());
    for (const auto units : { -1.0, std::nan(""), HUGE_VAL }) {
        CHECK(decodeMessage(encodeMessage(Ends { {}, { { {}, {}, {}, units, false } }, {} })).has_error());
        CHECK(decodeMessage(encodeMessage(Ends { {}, {}, { { {}, units } } })).has_error());
        CHECK(decodeMessage(encodeMessage(Totals { {}, {}, { { {}, units } } })).has_error());
    }
}

TEST_CASE("Frames are read completely, however the byte stream is split into chunks")
{
    CHECK(rc::check([] {
        const auto bodies = *rc::gen::arbitrary<std::vector<std::vector<std::uint8_t>>>();
        auto stream = std::vector<std::uint8_t> {};
        for (const auto& body : bodies)
            appendFrame(stream, body);

        auto reader = FrameReader {};
        auto read = std::vector<std::vector<std::uint8_t>> {};
        auto left = std::span<const std::uint8_t>(stream);
        while (!left.empty()) {
            const auto size = *rc::gen::inRange<std::size_t>(1, left.size() + 1);
            reader.append(left.first(size));
            left = left.subspan(size);
            for (auto body = reader.next(); body.value(); body = reader.next())
                read.emplace_back(body.value()->begin(), body.value()->end());
        }
        RC_ASSERT(read == bodies);
    }));
}

TEST_CASE("A frame above the maximum length is refused as soon as its header is read")
{
    auto reader = FrameReader {};
    reader.append(std::vector<std::uint8_t> { 0x01, 0x00, 0x80, 0x00 });
    CHECK(reader.next().has_error());
}

TEST_CASE("Prints the size of typical peer messages in bytes", "[.bytes]")
{
    const auto size
        = [](const PeerMessage& message) { return frameHeaderBytes + encodeMessage(message).size(); };
    const auto shard = ShardId { { ~0ULL }, 1 };
    const auto demand = [&](std::size_t count) {
        return Demand { shard, false, 9, std::vector<DemandEntry>(count), {} };
    };
    const auto updates = [](std::size_t count) { return std::vector<MemberUpdate>(count); };
    const auto versions = [](std::size_t count) { return std::vector<DocumentVersion>(count); };
    std::cout << "demand 1 entry: " << size(demand(1)) << "\ndemand 10 entries: " << size(demand(10))
              << "\ngrants 1: " << size(Grants { shard, 9, { {} } })
              << "\nends 1: " << size(Ends { shard, { {} }, {} })
              << "\nends 1 with 10 charges: " << size(Ends { shard, { {} }, std::vector<Charge>(10) })
              << "\ntotals 1: " << size(Totals { shard, { 9 }, std::vector<ServiceTotal>(1) })
              << "\ntotals 16: " << size(Totals { shard, { 9 }, std::vector<ServiceTotal>(16) })
              << "\nprobe, own update: " << size(Probe { 9, { 9 }, {}, updates(1), {} })
              << "\nprobe, own update, 2 versions: " << size(Probe { 9, { 9 }, {}, updates(1), versions(2) })
              << "\nprobe, 6 updates, 8 versions: "
              << size(Probe { 9, { 9 }, { 9 }, updates(6), versions(8) }) << '\n';
}
