#include "claimsmanager.h"

#include <algorithm>
#include <random>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include "claimsstream.h"
#include "logfields.h"

namespace camphorshunt {

namespace {

namespace json = boost::json;

/** Maximum claims records per second of all routers together. */
constexpr std::int64_t fleetAppendsPerSecond = 200;
/** Time after which a snapshot is requested from the next peer if none has arrived. */
constexpr Duration snapshotTimeout = 2s;
/** Maximum number of claims in a snapshot, which must fit into one frame. */
constexpr std::size_t maxClaimsSent = 25'000;
/** Keys are kept for this many key windows. */
constexpr int retainedWindows = 2;
/** Time between two evictions of old keys. */
constexpr Duration evictionInterval = 30s;
/** Set in the append ids of documents, never in those of claims. */
constexpr std::uint64_t documentAppendBit = std::uint64_t { 1 } << 63U;
constexpr std::size_t uuidLength = 36;

auto milliseconds(Duration duration) -> std::int64_t
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

auto hasUuidHyphens(std::string_view text) -> bool
{
    return text.size() == uuidLength && text[8] == '-' && text[13] == '-' && text[18] == '-'
        && text[23] == '-';
}

class LogClaimsManager final : public ClaimsManager {
public:
    explicit LogClaimsManager(const ClaimsManagerSettings& settings)
        : settings_(settings)
        , random_(settings.seed ^ settings.router.value ^ (settings.incarnation.value << 1U))
    {
        for (auto i = std::uint32_t { 0 }; i < std::max(settings.streams, 1U); ++i)
            streams_.push_back(
                { ClaimsStream("claims-" + std::to_string(i), settings.router, settings.incarnation), {},
                    {} });
    }

    auto beginClaim(Time now, RequestId request, const ClaimKey& key, Duration window)
        -> std::optional<ClaimRefusal> override;
    auto abandon(Time now, RequestId request) -> void override;
    auto settle(Time now, RequestId request) -> void override;

    auto handle(Time now, const LogRead& read, Actions& actions) -> void override;
    auto handle(Time now, const LogUnavailable& unavailable, Actions& actions) -> void override;
    auto handle(Time now, const AppendEnded& ended, Actions& actions) -> void override;
    auto handle(Time now, RouterId from, const ClaimsRequest& request, Actions& actions) -> void override;
    auto handle(Time now, const ClaimsTransfer& transfer, Actions& actions) -> void override;
    auto peerConnected(Time now, RouterId router, Actions& actions) -> void override;
    auto tick(Time now, std::size_t liveRouters, Actions& actions) -> void override;

    auto ready() const -> bool override { return ready_; }
    auto takeDecisions() -> std::vector<ClaimDecision> override;
    auto hasUnwritten() const -> bool override;
    auto status(Time now) const -> std::string override;

private:
    struct TailedStream {
        ClaimsStream stream;
        /** Peers from which a snapshot was requested since the last gap in the records read. */
        std::set<RouterId> requestedFrom;
        /** No snapshot is requested from another peer before this time. */
        std::optional<Time> requestDeadline;
    };

    auto wallMs(Time now) const -> std::int64_t
    {
        return milliseconds(now.time_since_epoch() + settings_.wallOffset);
    }
    auto findStream(std::string_view name) -> TailedStream*;
    auto streamOf(const ClaimKey& key) -> TailedStream&;
    auto sendAppends(Time now, Actions& actions) -> void;
    auto needsSnapshot(Time now, const TailedStream& tailed) const -> bool;
    auto requestSnapshot(Time now, TailedStream& tailed, Actions& actions) -> void;
    auto evictOldKeys(Time now) -> void;
    auto updateReady(Time now) -> void;

    ClaimsManagerSettings settings_;
    std::mt19937_64 random_;
    std::vector<TailedStream> streams_;
    std::set<RouterId> peers_;
    Duration maxWindow_ = 3600s;
    std::size_t liveRouters_ = 1;
    std::size_t nextStream_ {};
    Time nextAppend_;
    Time nextEviction_;
    bool tailing_ {};
    bool ready_ {};
};

auto LogClaimsManager::findStream(std::string_view name) -> TailedStream*
{
    const auto found = std::find_if(
        streams_.begin(), streams_.end(), [&](const auto& tailed) { return tailed.stream.name() == name; });
    return found == streams_.end() ? nullptr : &*found;
}

auto LogClaimsManager::streamOf(const ClaimKey& key) -> TailedStream&
{
    const auto text = hexText(key.service.value) + hexText(key.organisation.value) + keyText(key);
    return streams_[hashName(text) % streams_.size()];
}

auto LogClaimsManager::beginClaim(Time now, RequestId request, const ClaimKey& key, Duration window)
    -> std::optional<ClaimRefusal>
{
    maxWindow_ = std::max(maxWindow_, window);
    auto& stream = streamOf(key).stream;
    if (!stream.isUsable(now))
        return ClaimRefusal::Unavailable;
    if (const auto state = stream.fold().keyState(key); state != KeyState::Free)
        return state == KeyState::Done ? ClaimRefusal::Done : ClaimRefusal::Running;
    const auto age = wallMs(now) - key.issuedMs();
    if (age < -ClaimsFold::maxFutureMs)
        return ClaimRefusal::KeyFromFuture;
    if (age > milliseconds(window) || !stream.fold().covers(key.issuedMs()))
        return ClaimRefusal::KeyTooOld;
    stream.beginClaim(now, request, key, Nonce { random_() });
    return std::nullopt;
}

auto LogClaimsManager::abandon(Time now, RequestId request) -> void
{
    for (auto& tailed : streams_) {
        if (tailed.stream.abandon(request))
            return;
    }
}

auto LogClaimsManager::settle(Time now, RequestId request) -> void
{
    for (auto& tailed : streams_) {
        if (tailed.stream.settle(request))
            return;
    }
}

auto LogClaimsManager::handle(Time now, const LogRead& read, Actions& actions) -> void
{
    auto* const tailed = findStream(read.stream);
    if (tailed == nullptr)
        return;
    if (read.first > tailed->stream.fold().next())
        tailed->requestedFrom.clear();
    if (tailed->stream.apply(now, wallMs(now), read))
        actions.emplace_back(TailLog { read.stream, tailed->stream.fold().next() });
    updateReady(now);
}

auto LogClaimsManager::handle(Time now, const LogUnavailable& unavailable, Actions& actions) -> void
{
    if (auto* const tailed = findStream(unavailable.stream))
        tailed->stream.logUnavailable();
    updateReady(now);
}

auto LogClaimsManager::handle(Time now, const AppendEnded& ended, Actions& actions) -> void
{
    for (auto& tailed : streams_) {
        if (tailed.stream.appendEnded(now, ended))
            break;
    }
    sendAppends(now, actions);
}

auto LogClaimsManager::handle(Time now, RouterId from, const ClaimsRequest& request, Actions& actions) -> void
{
    const auto* const tailed = findStream(request.stream);
    if (tailed == nullptr || !tailed->stream.isAtTail())
        return;
    const auto& fold = tailed->stream.fold();
    actions.emplace_back(
        SendPeer { from, ClaimsTransfer { request.stream, fold.next(), fold.snapshot(maxClaimsSent) } });
}

auto LogClaimsManager::handle(Time now, const ClaimsTransfer& transfer, Actions& actions) -> void
{
    auto* const tailed = findStream(transfer.stream);
    if (tailed == nullptr || !needsSnapshot(now, *tailed))
        return;
    tailed->requestDeadline.reset();
    auto fold = ClaimsFold::fromSnapshot(transfer.snapshot);
    if (!fold) {
        actions.emplace_back(
            WriteLog { LogLevel::Warning, "claims-transfer-refused", { { "reason", fold.error().text() } } });
        return;
    }
    if (tailed->stream.adopt(std::move(fold.value())))
        actions.emplace_back(TailLog { transfer.stream, tailed->stream.fold().next() });
    updateReady(now);
}

auto LogClaimsManager::peerConnected(Time now, RouterId router, Actions& actions) -> void
{
    peers_.insert(router);
    for (auto& tailed : streams_) {
        tailed.requestedFrom.erase(router);
        requestSnapshot(now, tailed, actions);
    }
}

auto LogClaimsManager::needsSnapshot(Time now, const TailedStream& tailed) const -> bool
{
    return !tailed.stream.fold().covers(wallMs(now) - milliseconds(maxWindow_));
}

auto LogClaimsManager::requestSnapshot(Time now, TailedStream& tailed, Actions& actions) -> void
{
    if (!tailed.stream.isAtTail() || !needsSnapshot(now, tailed)
        || (tailed.requestDeadline && now < *tailed.requestDeadline))
        return;
    tailed.requestDeadline.reset();
    for (const auto peer : peers_) {
        if (!tailed.requestedFrom.insert(peer).second)
            continue;
        tailed.requestDeadline = now + snapshotTimeout;
        actions.emplace_back(SendPeer { peer, ClaimsRequest { tailed.stream.name() } });
        return;
    }
}

auto LogClaimsManager::tick(Time now, std::size_t liveRouters, Actions& actions) -> void
{
    liveRouters_ = std::max<std::size_t>(liveRouters, 1);
    for (auto& tailed : streams_) {
        if (!tailing_)
            actions.emplace_back(TailLog { tailed.stream.name(), tailed.stream.fold().next() });
        tailed.stream.expireAttempts(now);
        requestSnapshot(now, tailed, actions);
    }
    tailing_ = true;
    sendAppends(now, actions);
    evictOldKeys(now);
    updateReady(now);
}

auto LogClaimsManager::sendAppends(Time now, Actions& actions) -> void
{
    const auto interval = Duration(1s) * static_cast<std::int64_t>(liveRouters_) / fleetAppendsPerSecond;
    for (auto i = std::size_t { 0 }; i < streams_.size() && now >= nextAppend_; ++i) {
        auto& stream = streams_[nextStream_].stream;
        nextStream_ = (nextStream_ + 1) % streams_.size();
        if (!stream.wantsAppend(now))
            continue;
        nextAppend_ = now + interval;
        actions.emplace_back(
            stream.takeAppend(now, wallMs(now), AppendId { random_() & ~documentAppendBit }));
    }
}

auto LogClaimsManager::evictOldKeys(Time now) -> void
{
    if (now < nextEviction_)
        return;
    nextEviction_ = now + evictionInterval;
    for (auto& tailed : streams_)
        tailed.stream.evictBefore(wallMs(now) - retainedWindows * milliseconds(maxWindow_));
}

auto LogClaimsManager::updateReady(Time now) -> void
{
    ready_ = std::all_of(streams_.begin(), streams_.end(), [&](const auto& tailed) {
        const auto isWaiting = tailed.requestDeadline && now < *tailed.requestDeadline;
        return tailed.stream.isUsable(now) && !isWaiting;
    });
}

auto LogClaimsManager::takeDecisions() -> std::vector<ClaimDecision>
{
    auto decisions = std::vector<ClaimDecision>();
    for (auto& tailed : streams_) {
        const auto taken = tailed.stream.takeDecisions();
        decisions.insert(decisions.end(), taken.begin(), taken.end());
    }
    return decisions;
}

auto LogClaimsManager::hasUnwritten() const -> bool
{
    return std::any_of(
        streams_.begin(), streams_.end(), [](const auto& tailed) { return tailed.stream.hasUnwritten(); });
}

auto LogClaimsManager::status(Time now) const -> std::string
{
    auto streams = json::array();
    for (const auto& [stream, requestedFrom, requestDeadline] : streams_) {
        const auto isComplete = stream.fold().covers(0);
        streams.push_back({ { "stream", stream.name() }, { "next", stream.fold().next().value },
            { "usable", stream.isUsable(now) }, { "claims", stream.fold().size() },
            { "undecided", stream.undecided() }, { "unwritten", stream.hasUnwritten() },
            { "coveredSinceMs", isComplete ? 0 : stream.fold().coveredSinceMs() } });
    }
    return json::serialize(json::object { { "ready", ready_ }, { "streams", std::move(streams) } });
}

} // namespace

auto ClaimsManager::create(const ClaimsManagerSettings& settings) -> std::unique_ptr<ClaimsManager>
{
    return std::make_unique<LogClaimsManager>(settings);
}

auto ClaimsManager::parseKey(std::string_view text, ServiceId service, OrganisationId organisation)
    -> std::optional<ClaimKey>
{
    if (!hasUuidHyphens(text))
        return std::nullopt;
    auto digits = std::string(text);
    std::erase(digits, '-');
    const auto high = parseHex(std::string_view(digits).substr(0, 16));
    const auto low = parseHex(std::string_view(digits).substr(16));
    if (digits.size() != 32 || !high || !low)
        return std::nullopt;
    const auto version = (*high >> 12U) & 0xFU;
    const auto variant = *low >> 62U;
    if (version != 7 || variant != 2)
        return std::nullopt;
    return ClaimKey { service, organisation, *high, *low };
}

} // namespace camphorshunt
