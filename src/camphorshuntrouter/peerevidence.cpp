#include "peerevidence.h"

#include "peerframefields.h"

namespace camphorshunt::router {

auto packQuarantinedSet(flatbuffers::FlatBufferBuilder& builder, const PeerQuarantine& quarantine)
    -> flatbuffers::Offset<fleet::QuarantinedSet>
{
    auto parts = quarantine.with;
    parts.insert(parts.begin(), quarantine.part);
    return fleet::CreateQuarantinedSet(builder, quarantine.service.value, builder.CreateVector(parts),
        packMilliseconds(quarantine.left), packMilliseconds(quarantine.length), quarantine.released);
}

auto unpackQuarantinedSet(const fleet::QuarantinedSet& packed) -> Result<PeerQuarantine>
{
    const auto* const parts = packed.parts();
    if (parts == nullptr || parts->size() == 0 || !isAligned(parts))
        return malformed("set in quarantine has no parts, or a list that is not aligned");
    return PeerQuarantine { { packed.service() }, parts->Get(0), std::chrono::milliseconds(packed.left_ms()),
        std::chrono::milliseconds(packed.length_ms()), packed.released(),
        { parts->begin() + 1, parts->end() } };
}

auto packCrash(flatbuffers::FlatBufferBuilder& builder, const PeerCrash& crash)
    -> flatbuffers::Offset<fleet::Crash>
{
    const auto& process = crash.process;
    const auto endpoint = builder.CreateString(process.endpoint.text());
    const auto parts = builder.CreateVector(crash.parts);
    return fleet::CreateCrash(builder, crash.service.value, process.upstream.value, process.startedAt.count(),
        endpoint, parts, packMilliseconds(crash.sincePlaced), packMilliseconds(crash.sinceBreak), crash.lives,
        crash.ended);
}

auto unpackCrash(const fleet::Crash& packed) -> Result<PeerCrash>
{
    if (packed.endpoint() == nullptr || !isAligned(packed.parts()))
        return malformed("crash without an endpoint, or with a list that is not aligned");
    const auto endpoint = Endpoint::parse(packed.endpoint()->string_view(), "endpoint");
    if (!endpoint)
        return malformed(endpoint.error().text());
    auto crash = PeerCrash { { packed.service() },
        { { packed.upstream() }, std::chrono::milliseconds(packed.started_ms()), endpoint.value() }, {},
        std::chrono::milliseconds(packed.placed_ms()), std::chrono::milliseconds(packed.broken_ms()),
        packed.lives(), packed.ended() };
    if (packed.parts() != nullptr)
        crash.parts.assign(packed.parts()->begin(), packed.parts()->end());
    return crash;
}

} // namespace camphorshunt::router
