#include "peerframe.h"

#include <absl/container/flat_hash_set.h>

#include "evacuation/evacuationframe.h"
#include "fleet_generated.h"
#include "peerevidence.h"
#include "peerframefields.h"

namespace camphorshunt::router {

namespace {

using flatbuffers::FlatBufferBuilder;
using flatbuffers::Offset;

constexpr auto maxNesting = std::size_t { 6 };
constexpr auto maxTables = std::size_t { 100000 };
/** Cores of a VM; the same bound as in a router's settings. */
constexpr auto maxProcessorShare = 1024.0F;
constexpr auto maxRouters = 100000U;
/** Longest time to a goal or deadline, or since one; a longer one could overflow a time. */
constexpr auto maxTimeLeft = Duration(std::chrono::hours(24));

auto packPlacementRequest(FlatBufferBuilder& builder, const PeerPlacementRequest& placement)
    -> Offset<fleet::Place>
{
    const auto& request = placement.request;
    auto parts = std::vector<fleet::Part> {};
    for (const auto& part : request.prompt.parts)
        parts.emplace_back(part.id, part.tokens);
    auto avoid = std::vector<std::uint64_t> {};
    for (const auto upstream : request.avoid)
        avoid.push_back(upstream.value);
    const auto partsOffset = builder.CreateVectorOfStructs(parts);
    const auto avoidOffset = builder.CreateVector(avoid);
    return fleet::CreatePlace(builder, request.key.number, request.service.value, request.organisation.value,
        request.failureDomain, request.priority, request.prompt.tokens, request.prompt.outputLimit,
        request.prompt.outputHint, request.repeatable, placement.goalLeft.count(),
        placement.deadlineLeft.count(), partsOffset, avoidOffset,
        placement.runningAt.value_or(UpstreamId {}).value, placement.started);
}

auto packDirectory(FlatBufferBuilder& builder, const DirectoryPage& page) -> Offset<fleet::DirectoryPage>
{
    auto records = std::vector<Offset<fleet::Record>> {};
    for (const auto& record : page.records) {
        const auto key = builder.CreateString(record.name);
        const auto value = record.value ? builder.CreateString(*record.value) : 0;
        records.push_back(fleet::CreateRecord(builder, key, value, record.offset));
    }
    const auto list = builder.CreateVector(records);
    return fleet::CreateDirectoryPage(
        builder, page.isSnapshot, page.from, page.end, list, packMilliseconds(page.age), page.era);
}

auto packHello(FlatBufferBuilder& builder, const PeerHello& hello) -> Offset<fleet::Hello>
{
    return fleet::CreateHello(builder, builder.CreateString(hello.endpoint), hello.incarnation,
        static_cast<float>(hello.processorShare), hello.failureDomain);
}

auto packAddress(FlatBufferBuilder& builder, const RouterAddress& address) -> Offset<fleet::Address>
{
    return fleet::CreateAddress(builder, builder.CreateString(address.endpoint),
        static_cast<float>(address.processorShare), address.failureDomain);
}

auto packAvailability(FlatBufferBuilder& builder, const PeerAvailability& availability)
    -> Offset<fleet::Availability>
{
    const auto& process = availability.process;
    const auto endpoint = builder.CreateString(process.endpoint.text());
    return fleet::CreateAvailability(builder, availability.service.value, process.upstream.value,
        process.startedAt.count(), endpoint, availability.leaving, packMilliseconds(availability.rest));
}

auto packPresence(const PeerPresence& presence) -> fleet::Presence
{
    return { presence.routers, packMilliseconds(presence.interval),
        packMilliseconds(presence.configurationAge), presence.dependsOnReceiver };
}

auto packClock(const PeerClock& clock) -> fleet::Clock
{
    return { clock.sent, clock.echoed, static_cast<std::uint64_t>(clock.held.count()) };
}

/** Older builds refuse frames with a reason that they don't know. */
auto reasonForAll(RefusalReason reason) -> RefusalReason
{
    return reason == RefusalReason::Quarantined ? RefusalReason::NoUpstream : reason;
}

auto packDecision(const PeerPlacementDecision& decision) -> fleet::Verdict
{
    return { decision.number, decision.service.value, decision.upstream.value_or(UpstreamId {}).value,
        decision.copyFrom.value_or(UpstreamId {}).value, packMilliseconds(decision.retryAfter),
        packMilliseconds(decision.inputs.wait), decision.inputs.cachedTokens, decision.inputs.waiting,
        static_cast<std::uint8_t>(reasonForAll(decision.reason)), decision.upstream.has_value() };
}

auto packQuarantine(const PeerQuarantine& quarantine) -> fleet::Quarantine
{
    return { quarantine.service.value, quarantine.part, packMilliseconds(quarantine.left),
        packMilliseconds(quarantine.length), quarantine.released };
}

/** False for NaN as well. */
auto isProcessorShare(float share) -> bool { return share >= 0 && share <= maxProcessorShare; }

auto isTimeLeft(std::int64_t microseconds) -> bool
{
    return microseconds >= -maxTimeLeft.count() && microseconds <= maxTimeLeft.count();
}

auto unpackPlacementRequest(const fleet::Place& packed) -> Result<PeerPlacementRequest>
{
    if (!isAligned(packed.parts()) || !isAligned(packed.avoid()))
        return malformed("list of a placement request is not aligned");
    if (!isTimeLeft(packed.goal_us()) || !isTimeLeft(packed.deadline_us()))
        return malformed("goal or deadline of a placement request is more than a day away");
    auto placement = PeerPlacementRequest {};
    auto& request = placement.request;
    request.key.number = packed.number();
    request.service = { packed.service() };
    request.organisation = { packed.organisation() };
    request.failureDomain = packed.failure_domain();
    request.priority = packed.priority();
    request.prompt.tokens = packed.prompt_tokens();
    request.prompt.outputLimit = packed.output_limit();
    request.prompt.outputHint = packed.output_hint();
    request.repeatable = packed.repeatable();
    if (packed.parts() != nullptr) {
        for (const auto* const part : *packed.parts())
            request.prompt.parts.push_back({ part->id(), part->tokens() });
    }
    if (packed.avoid() != nullptr) {
        for (const auto upstream : *packed.avoid())
            request.avoid.push_back({ upstream });
    }
    placement.goalLeft = Duration(packed.goal_us());
    placement.deadlineLeft = Duration(packed.deadline_us());
    if (packed.upstream() != 0)
        placement.runningAt = UpstreamId { packed.upstream() };
    placement.started = packed.started();
    return placement;
}

auto unpackDecision(const fleet::Verdict& packed) -> Result<PeerPlacementDecision>
{
    if (packed.reason() > static_cast<std::uint8_t>(RefusalReason::NoUpstream))
        return malformed("unknown refusal reason");
    auto decision = PeerPlacementDecision {};
    decision.number = packed.number();
    decision.service = { packed.service() };
    if (packed.placed())
        decision.upstream = UpstreamId { packed.upstream() };
    if (packed.copy_from() != 0)
        decision.copyFrom = UpstreamId { packed.copy_from() };
    decision.reason = static_cast<RefusalReason>(packed.reason());
    decision.retryAfter = std::chrono::milliseconds(packed.retry_ms());
    decision.inputs = { std::chrono::milliseconds(packed.wait_ms()), packed.kept_tokens(), packed.waiting() };
    return decision;
}

auto unpackReport(const fleet::Report& packed) -> Result<PeerReport>
{
    if (packed.kind() > static_cast<std::uint8_t>(PeerReportKind::Ended)
        || packed.end() > static_cast<std::uint8_t>(PlacementEnd::Failed))
        return malformed("unknown report kind or placement end");
    return PeerReport { packed.number(), { packed.service() }, static_cast<PeerReportKind>(packed.kind()),
        static_cast<PlacementEnd>(packed.end()) };
}

auto unpackDirectory(const fleet::DirectoryPage& packed) -> DirectoryPage
{
    auto page = DirectoryPage { packed.whole(), packed.from(), packed.end(), {},
        std::chrono::milliseconds(packed.age_ms()) };
    page.era = packed.era();
    if (packed.records() == nullptr)
        return page;
    for (const auto* const record : *packed.records()) {
        page.records.push_back({ record->key()->str(), std::nullopt, record->offset() });
        if (record->value() != nullptr)
            page.records.back().value = record->value()->str();
    }
    return page;
}

auto unpackAddress(const fleet::Address& packed) -> Result<RouterAddress>
{
    if (!isProcessorShare(packed.processor_share()))
        return malformed("processor share of an address is out of range");
    return RouterAddress { packed.endpoint()->str(), packed.processor_share(), packed.failure_domain() };
}

auto unpackPresence(const fleet::Presence& packed) -> PeerPresence
{
    return { packed.routers(), std::chrono::milliseconds(packed.interval_ms()),
        std::chrono::milliseconds(packed.configuration_age_ms()), packed.depends() };
}

auto unpackClock(const fleet::Clock& packed) -> Result<PeerClock>
{
    if (packed.held_us() > static_cast<std::uint64_t>(maxTimeLeft.count()))
        return malformed("clock value is held for more than a day");
    return PeerClock { packed.sent_us(), packed.echoed_us(), Duration(packed.held_us()) };
}

auto unpackAvailability(const fleet::Availability& packed) -> Result<PeerAvailability>
{
    if (packed.endpoint() == nullptr)
        return malformed("availability without an endpoint");
    const auto endpoint = Endpoint::parse(packed.endpoint()->string_view(), "endpoint");
    if (!endpoint)
        return malformed(endpoint.error().text());
    return PeerAvailability { { packed.service() },
        { { packed.upstream() }, std::chrono::milliseconds(packed.started_ms()), endpoint.value() },
        packed.leaving(), std::chrono::milliseconds(packed.rest_ms()) };
}

auto unpackQuarantine(const fleet::Quarantine& packed) -> Result<PeerQuarantine>
{
    return PeerQuarantine { { packed.service() }, packed.part(), std::chrono::milliseconds(packed.left_ms()),
        std::chrono::milliseconds(packed.length_ms()), packed.released() };
}

auto markQuarantined(
    std::vector<PeerPlacementDecision>& decisions, const flatbuffers::Vector<std::uint64_t>* numbers) -> void
{
    if (numbers == nullptr)
        return;
    const auto quarantined = absl::flat_hash_set<std::uint64_t>(numbers->begin(), numbers->end());
    for (auto& decision : decisions) {
        if (!decision.upstream && quarantined.contains(decision.number))
            decision.reason = RefusalReason::Quarantined;
    }
}

template <typename Packed, typename Item, typename Unpack>
auto unpackAll(const Packed* packed, std::vector<Item>& items, Unpack unpack) -> std::optional<Error>
{
    if (packed == nullptr)
        return std::nullopt;
    for (const auto* const entry : *packed) {
        auto item = unpack(*entry);
        if (!item)
            return item.error();
        items.push_back(std::move(item.value()));
    }
    return std::nullopt;
}

} // namespace

auto encodePeerFrame(const PeerFrame& frame) -> std::vector<std::uint8_t>
{
    auto builder = FlatBufferBuilder {};
    auto placementRequests = std::vector<Offset<fleet::Place>> {};
    for (const auto& placement : frame.placementRequests)
        placementRequests.push_back(packPlacementRequest(builder, placement));
    auto placementDecisions = std::vector<fleet::Verdict> {};
    auto quarantined = std::vector<std::uint64_t> {};
    for (const auto& decision : frame.placementDecisions) {
        placementDecisions.push_back(packDecision(decision));
        if (!decision.upstream && decision.reason == RefusalReason::Quarantined)
            quarantined.push_back(decision.number);
    }
    auto quarantines = std::vector<fleet::Quarantine> {};
    auto sets = std::vector<Offset<fleet::QuarantinedSet>> {};
    for (const auto& quarantine : frame.quarantines) {
        if (quarantine.with.empty())
            quarantines.push_back(packQuarantine(quarantine));
        else
            sets.push_back(packQuarantinedSet(builder, quarantine));
    }
    auto reports = std::vector<fleet::Report> {};
    for (const auto& report : frame.reports) {
        reports.emplace_back(report.number, report.service.value, static_cast<std::uint8_t>(report.kind),
            static_cast<std::uint8_t>(report.end));
    }

    const auto hello = frame.hello ? packHello(builder, *frame.hello) : 0;
    const auto members = frame.members.empty() ? 0 : builder.CreateVectorOfStrings(frame.members);
    const auto requestList = placementRequests.empty() ? 0 : builder.CreateVector(placementRequests);
    const auto decisionList
        = placementDecisions.empty() ? 0 : builder.CreateVectorOfStructs(placementDecisions);
    const auto reportList = reports.empty() ? 0 : builder.CreateVectorOfStructs(reports);
    const auto directory = frame.directory ? packDirectory(builder, *frame.directory) : 0;
    const auto configuration = frame.configuration ? builder.CreateString(*frame.configuration) : 0;
    auto addresses = std::vector<Offset<fleet::Address>> {};
    for (const auto& address : frame.addresses)
        addresses.push_back(packAddress(builder, address));
    const auto addressList = addresses.empty() ? 0 : builder.CreateVector(addresses);
    auto availability = std::vector<Offset<fleet::Availability>> {};
    for (const auto& item : frame.availability)
        availability.push_back(packAvailability(builder, item));
    const auto availabilityList = availability.empty() ? 0 : builder.CreateVector(availability);
    auto crashes = std::vector<Offset<fleet::Crash>> {};
    for (const auto& crash : frame.crashes)
        crashes.push_back(packCrash(builder, crash));
    const auto setList = sets.empty() ? 0 : builder.CreateVector(sets);
    const auto crashList = crashes.empty() ? 0 : builder.CreateVector(crashes);
    const auto quarantineList = quarantines.empty() ? 0 : builder.CreateVectorOfStructs(quarantines);
    const auto quarantinedList = quarantined.empty() ? 0 : builder.CreateVector(quarantined);
    const auto evacuation = frame.evacuation ? packEvacuation(builder, *frame.evacuation) : 0;
    const auto presence = packPresence(frame.presence.value_or(PeerPresence {}));
    const auto clock = packClock(frame.clock.value_or(PeerClock {}));
    const auto heartbeat = frame.heartbeat.value_or(PeerHeartbeat {});
    const auto packedHeartbeat = fleet::Beat(
        heartbeat.configurationVersion, heartbeat.directoryEnd, heartbeat.storeReachable, heartbeat.leaving);
    builder.Finish(fleet::CreateFrame(builder, hello, members, frame.heartbeat ? &packedHeartbeat : nullptr,
        requestList, decisionList, reportList, directory, frame.wantsDirectory, configuration,
        frame.wantsConfiguration, addressList, frame.presence ? &presence : nullptr, availabilityList,
        frame.clock ? &clock : nullptr, quarantineList, quarantinedList, heartbeat.directoryEra, crashList,
        setList, evacuation, heartbeat.evacuations.era, heartbeat.evacuations.end));
    return { builder.GetBufferPointer(), builder.GetBufferPointer() + builder.GetSize() };
}

auto decodePeerFrame(std::span<const std::uint8_t> bytes) -> Result<PeerFrame>
{
    // The frame's alignment counts from its first byte, and a span into received bytes may begin anywhere.
    const auto aligned = std::vector<std::uint8_t>(bytes.begin(), bytes.end());
    auto verifier = flatbuffers::Verifier(aligned.data(), aligned.size(), maxNesting, maxTables);
    if (!fleet::VerifyFrameBuffer(verifier))
        return malformed("not a valid FlatBuffers frame");
    const auto& packed = *fleet::GetFrame(aligned.data());

    auto frame = PeerFrame {};
    if (const auto* const hello = packed.hello()) {
        if (!isProcessorShare(hello->processor_share()))
            return malformed("processor share of a hello is out of range");
        frame.hello
            = { hello->endpoint()->str(), hello->run(), hello->processor_share(), hello->failure_domain() };
    }
    if (packed.members() != nullptr) {
        for (const auto* const member : *packed.members())
            frame.members.push_back(member->str());
    }
    if (const auto* const heartbeat = packed.beat()) {
        frame.heartbeat = { heartbeat->configuration(), heartbeat->directory_end(),
            heartbeat->store_reachable(), heartbeat->leaving(), packed.directory_era(),
            { packed.evacuation_era(), packed.evacuation_end() } };
    }
    if (!isAligned(packed.verdicts()) || !isAligned(packed.reports()) || !isAligned(packed.quarantines())
        || !isAligned(packed.quarantined()))
        return malformed("list is not aligned");
    if (const auto error = unpackAll(packed.places(), frame.placementRequests, unpackPlacementRequest))
        return *error;
    if (const auto error = unpackAll(packed.verdicts(), frame.placementDecisions, unpackDecision))
        return *error;
    if (const auto error = unpackAll(packed.reports(), frame.reports, unpackReport))
        return *error;
    if (const auto error = unpackAll(packed.addresses(), frame.addresses, unpackAddress))
        return *error;
    if (const auto error = unpackAll(packed.availability(), frame.availability, unpackAvailability))
        return *error;
    if (const auto error = unpackAll(packed.quarantines(), frame.quarantines, unpackQuarantine))
        return *error;
    if (const auto error = unpackAll(packed.quarantined_sets(), frame.quarantines, unpackQuarantinedSet))
        return *error;
    if (const auto error = unpackAll(packed.crashes(), frame.crashes, unpackCrash))
        return *error;
    markQuarantined(frame.placementDecisions, packed.quarantined());
    const auto* const presence = packed.presence();
    if (presence != nullptr && presence->routers() > maxRouters)
        return malformed("more routers than a fleet can have");
    if (presence != nullptr)
        frame.presence = unpackPresence(*presence);
    if (packed.clock() != nullptr) {
        const auto clock = unpackClock(*packed.clock());
        if (!clock)
            return clock.error();
        frame.clock = clock.value();
    }
    if (packed.directory() != nullptr)
        frame.directory = unpackDirectory(*packed.directory());
    if (packed.evacuation() != nullptr) {
        auto evacuation = unpackEvacuation(*packed.evacuation());
        if (!evacuation)
            return evacuation.error();
        frame.evacuation = std::move(evacuation.value());
    }
    frame.wantsDirectory = packed.wants_directory();
    if (packed.configuration() != nullptr)
        frame.configuration = packed.configuration()->str();
    frame.wantsConfiguration = packed.wants_configuration();
    return frame;
}

} // namespace camphorshunt::router
