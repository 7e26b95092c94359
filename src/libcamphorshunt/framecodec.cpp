#include "framecodec.h"

#include <cmath>
#include <optional>
#include <string_view>
#include <type_traits>

#include "wire_generated.h"

namespace camphorshunt {

namespace {

using flatbuffers::FlatBufferBuilder;

/** Limits for the verifier. A valid message has two tables, nested: the root and its body. */
constexpr auto maxNesting = std::size_t { 4 };
constexpr auto maxTables = std::size_t { 4 };

auto malformed(std::string message) -> Error
{
    return failure(Error::Code::Malformed, "frame", std::move(message));
}

// Encoding: one function per struct of fixed size.

auto packed(RequestClass value) -> std::uint8_t { return static_cast<std::uint8_t>(value); }

auto packed(const ShardId& shard) -> wire::Shard { return { shard.service.value, shard.index }; }

auto packed(const DemandEntry& entry) -> wire::DemandEntry
{
    return { entry.organisation.value, entry.waiting, entry.headUnits, packed(entry.requestClass) };
}

auto packed(const HeldSlot& slot) -> wire::HeldSlot
{
    return { slot.grant.value, slot.organisation.value, slot.upstream.value, slot.chargedUnits,
        packed(slot.requestClass) };
}

auto packed(const Grant& grant) -> wire::Grant
{
    return { grant.id.value, grant.organisation.value, grant.upstream.value, packed(grant.requestClass) };
}

auto packed(const SlotEnd& end) -> wire::SlotEnd
{
    return { end.grant.value, end.organisation.value, end.upstream.value, end.totalUnits, end.unused,
        static_cast<std::uint8_t>(end.result) };
}

auto packed(const Charge& charge) -> wire::Charge { return { charge.grant.value, charge.totalUnits }; }

auto packed(const ServiceTotal& total) -> wire::ServiceTotal
{
    return { total.organisation.value, total.units };
}

auto packed(const MemberUpdate& update) -> wire::MemberNews
{
    return { update.router.value, update.incarnation.value, update.refutation,
        static_cast<std::uint8_t>(update.state) };
}

auto packed(const DocumentVersion& version) -> wire::DocumentVersion
{
    return { version.service.value, version.version.value, version.digest };
}

/** An empty list is not encoded. */
template <typename Wire, typename Item>
auto packedList(FlatBufferBuilder& builder, const std::vector<Item>& items)
    -> flatbuffers::Offset<flatbuffers::Vector<const Wire*>>
{
    if (items.empty())
        return 0;
    auto list = std::vector<Wire> {};
    list.reserve(items.size());
    for (const auto& item : items)
        list.push_back(packed(item));
    return builder.CreateVectorOfStructs(list);
}

auto packedBytes(FlatBufferBuilder& builder, std::string_view bytes)
{
    return builder.CreateVector(reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size());
}

// Encoding: one function per message.

auto pack(FlatBufferBuilder& builder, const Demand& demand)
{
    const auto entries = packedList<wire::DemandEntry>(builder, demand.entries);
    const auto held = packedList<wire::HeldSlot>(builder, demand.held);
    const auto shard = packed(demand.shard);
    return wire::CreateDemand(builder, &shard, demand.full, demand.grantsSeen, entries, held);
}

auto pack(FlatBufferBuilder& builder, const Grants& grants)
{
    const auto list = packedList<wire::Grant>(builder, grants.grants);
    const auto shard = packed(grants.shard);
    return wire::CreateGrants(builder, &shard, grants.sequence, list);
}

auto pack(FlatBufferBuilder& builder, const Ends& ends)
{
    const auto list = packedList<wire::SlotEnd>(builder, ends.ends);
    const auto charges = packedList<wire::Charge>(builder, ends.charges);
    const auto shard = packed(ends.shard);
    return wire::CreateEnds(builder, &shard, list, charges);
}

auto pack(FlatBufferBuilder& builder, const Totals& totals)
{
    const auto list = packedList<wire::ServiceTotal>(builder, totals.totals);
    const auto shard = packed(totals.shard);
    return wire::CreateTotals(builder, &shard, totals.dispatcher.value, list);
}

auto pack(FlatBufferBuilder& builder, const Probe& probe)
{
    const auto news = packedList<wire::MemberNews>(builder, probe.news);
    const auto versions = packedList<wire::DocumentVersion>(builder, probe.versions);
    return wire::CreateProbe(
        builder, probe.sequence, probe.target.value, probe.relayFor.value, news, versions);
}

auto pack(FlatBufferBuilder& builder, const ProbeAck& ack)
{
    const auto news = packedList<wire::MemberNews>(builder, ack.news);
    const auto versions = packedList<wire::DocumentVersion>(builder, ack.versions);
    return wire::CreateProbeAck(builder, ack.sequence, ack.target.value, ack.relayFor.value, news, versions);
}

auto pack(FlatBufferBuilder& builder, const DocumentRequest& request)
{
    return wire::CreateDocumentRequest(builder, request.service.value, request.have.value);
}

auto pack(FlatBufferBuilder& builder, const DocumentTransfer& transfer)
{
    const auto snapshot = packedBytes(builder, transfer.snapshot);
    return wire::CreateDocumentTransfer(
        builder, transfer.service.value, transfer.version.value, transfer.digest, snapshot);
}

auto pack(FlatBufferBuilder& builder, const ClaimsRequest& request)
{
    return wire::CreateClaimsRequest(builder, builder.CreateString(request.stream));
}

auto pack(FlatBufferBuilder& builder, const ClaimsTransfer& transfer)
{
    const auto stream = builder.CreateString(transfer.stream);
    const auto snapshot = packedBytes(builder, transfer.snapshot);
    return wire::CreateClaimsTransfer(builder, stream, transfer.next.value, snapshot);
}

// Decoding: an enum value or a number out of range gives nullopt or false.

template <typename Enum> auto inRange(std::uint8_t value, Enum last) -> std::optional<Enum>
{
    if (value > static_cast<std::uint8_t>(last))
        return std::nullopt;
    return static_cast<Enum>(value);
}

auto requestClass(std::uint8_t value) { return inRange(value, RequestClass::Deferrable); }

/** Units of service must be finite and not negative. */
auto isUnits(double value) -> bool { return std::isfinite(value) && value >= 0.0; }

auto unpacked(const wire::Shard& shard) -> ShardId { return { { shard.service() }, shard.index() }; }

auto unpacked(const wire::DemandEntry& entry) -> std::optional<DemandEntry>
{
    const auto kind = requestClass(entry.request_class());
    if (!kind)
        return std::nullopt;
    return DemandEntry { { entry.organisation() }, *kind, entry.waiting(), entry.head_units() };
}

auto unpacked(const wire::HeldSlot& slot) -> std::optional<HeldSlot>
{
    const auto kind = requestClass(slot.request_class());
    if (!kind || !isUnits(slot.charged_units()))
        return std::nullopt;
    return HeldSlot { { slot.grant() }, { slot.organisation() }, *kind, { slot.upstream() },
        slot.charged_units() };
}

auto unpacked(const wire::Grant& grant) -> std::optional<Grant>
{
    const auto kind = requestClass(grant.request_class());
    if (!kind)
        return std::nullopt;
    return Grant { { grant.id() }, { grant.organisation() }, *kind, { grant.upstream() } };
}

auto unpacked(const wire::SlotEnd& end) -> std::optional<SlotEnd>
{
    if (!isUnits(end.total_units()) || end.result() > static_cast<std::uint8_t>(AttemptResult::Cancelled))
        return std::nullopt;
    return SlotEnd { { end.grant() }, { end.organisation() }, { end.upstream() }, end.total_units(),
        end.unused(), static_cast<AttemptResult>(end.result()) };
}

auto unpacked(const wire::Charge& charge) -> std::optional<Charge>
{
    if (!isUnits(charge.total_units()))
        return std::nullopt;
    return Charge { { charge.grant() }, charge.total_units() };
}

auto unpacked(const wire::ServiceTotal& total) -> std::optional<ServiceTotal>
{
    if (!isUnits(total.units()))
        return std::nullopt;
    return ServiceTotal { { total.organisation() }, total.units() };
}

auto unpacked(const wire::MemberNews& update) -> std::optional<MemberUpdate>
{
    const auto state = inRange(update.state(), MemberState::Draining);
    if (!state)
        return std::nullopt;
    return MemberUpdate { { update.router() }, { update.incarnation() }, *state, update.refutation() };
}

auto unpacked(const wire::DocumentVersion& version) -> std::optional<DocumentVersion>
{
    return DocumentVersion { { version.service() }, { version.version() }, version.digest() };
}

template <typename Wire, typename Item>
auto unpackList(const flatbuffers::Vector<const Wire*>* list, std::vector<Item>& items) -> bool
{
    if (list == nullptr)
        return true;
    // The verifier of FlatBuffers 2.0 checks the length of a list, but not the alignment of its structs.
    if (reinterpret_cast<std::uintptr_t>(list->Data()) % alignof(Wire) != 0)
        return false;
    items.reserve(list->size());
    for (const auto* const packedItem : *list) {
        auto item = unpacked(*packedItem);
        if (!item)
            return false;
        items.push_back(std::move(*item));
    }
    return true;
}

auto text(const flatbuffers::Vector<std::uint8_t>& bytes) -> std::string
{
    return { reinterpret_cast<const char*>(bytes.data()), bytes.size() };
}

using Unpacked = std::optional<PeerMessage>;

auto unpack(const wire::Demand& demand) -> Unpacked
{
    auto message = Demand { unpacked(*demand.shard()), demand.full(), demand.grants_seen(), {}, {} };
    if (!unpackList(demand.entries(), message.entries) || !unpackList(demand.held(), message.held))
        return std::nullopt;
    return message;
}

auto unpack(const wire::Grants& grants) -> Unpacked
{
    auto message = Grants { unpacked(*grants.shard()), grants.sequence(), {} };
    if (!unpackList(grants.grants(), message.grants))
        return std::nullopt;
    return message;
}

auto unpack(const wire::Ends& ends) -> Unpacked
{
    auto message = Ends { unpacked(*ends.shard()), {}, {} };
    if (!unpackList(ends.ends(), message.ends) || !unpackList(ends.charges(), message.charges))
        return std::nullopt;
    return message;
}

auto unpack(const wire::Totals& totals) -> Unpacked
{
    auto message = Totals { unpacked(*totals.shard()), { totals.dispatcher() }, {} };
    if (!unpackList(totals.totals(), message.totals))
        return std::nullopt;
    return message;
}

template <typename Message, typename Wire> auto unpackProbe(const Wire& probe) -> Unpacked
{
    auto message = Message { probe.sequence(), { probe.target() }, { probe.relay_for() }, {}, {} };
    if (!unpackList(probe.news(), message.news) || !unpackList(probe.versions(), message.versions))
        return std::nullopt;
    return message;
}

auto unpack(const wire::Probe& probe) -> Unpacked { return unpackProbe<Probe>(probe); }

auto unpack(const wire::ProbeAck& ack) -> Unpacked { return unpackProbe<ProbeAck>(ack); }

auto unpack(const wire::DocumentRequest& request) -> Unpacked
{
    return DocumentRequest { { request.service() }, { request.have() } };
}

auto unpack(const wire::DocumentTransfer& transfer) -> Unpacked
{
    return DocumentTransfer { { transfer.service() }, { transfer.version() }, transfer.digest(),
        text(*transfer.snapshot()) };
}

auto unpack(const wire::ClaimsRequest& request) -> Unpacked
{
    return ClaimsRequest { request.stream()->str() };
}

auto unpack(const wire::ClaimsTransfer& transfer) -> Unpacked
{
    return ClaimsTransfer { transfer.stream()->str(), { transfer.next() }, text(*transfer.snapshot()) };
}

auto unpackBody(const wire::Message& message) -> Unpacked
{
    switch (message.body_type()) {
    case wire::Body::Demand:
        return unpack(*message.body_as_Demand());
    case wire::Body::Grants:
        return unpack(*message.body_as_Grants());
    case wire::Body::Ends:
        return unpack(*message.body_as_Ends());
    case wire::Body::Totals:
        return unpack(*message.body_as_Totals());
    case wire::Body::Probe:
        return unpack(*message.body_as_Probe());
    case wire::Body::ProbeAck:
        return unpack(*message.body_as_ProbeAck());
    case wire::Body::DocumentRequest:
        return unpack(*message.body_as_DocumentRequest());
    case wire::Body::DocumentTransfer:
        return unpack(*message.body_as_DocumentTransfer());
    case wire::Body::ClaimsRequest:
        return unpack(*message.body_as_ClaimsRequest());
    case wire::Body::ClaimsTransfer:
        return unpack(*message.body_as_ClaimsTransfer());
    case wire::Body::NONE:
        break;
    }
    return std::nullopt;
}

} // namespace

auto encodeMessage(const PeerMessage& message) -> std::vector<std::uint8_t>
{
    auto builder = FlatBufferBuilder {};
    // The generated union numbers its alternatives from 1, in the order of PeerMessage.
    const auto type = static_cast<wire::Body>(message.index() + 1);
    const auto body = std::visit([&](const auto& held) { return pack(builder, held).Union(); }, message);
    builder.Finish(wire::CreateMessage(builder, type, body));
    return { builder.GetBufferPointer(), builder.GetBufferPointer() + builder.GetSize() };
}

auto decodeMessage(std::span<const std::uint8_t> bytes) -> Result<PeerMessage>
{
    if (bytes.size() > maxFrameBytes)
        return malformed("message is longer than " + std::to_string(maxFrameBytes) + " bytes");
    // The verifier requires an aligned buffer, which the copy is; a span into a frame may be unaligned.
    const auto aligned = std::vector<std::uint8_t>(bytes.begin(), bytes.end());
    auto verifier = flatbuffers::Verifier(aligned.data(), aligned.size(), maxNesting, maxTables);
    if (!wire::VerifyMessageBuffer(verifier))
        return malformed("message does not match the schema");
    auto message = unpackBody(*wire::GetMessage(aligned.data()));
    if (!message)
        return malformed("message type unknown or value out of range");
    return std::move(*message);
}

} // namespace camphorshunt
