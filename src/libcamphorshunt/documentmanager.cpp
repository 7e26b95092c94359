#include "documentmanager.h"

#include <algorithm>
#include <random>

#include <absl/container/flat_hash_map.h>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include "documentfold.h"
#include "logfields.h"

namespace camphorshunt {

namespace {

namespace json = boost::json;

/**
 * A router delays a due snapshot by a random time up to this: several routers find it due together,
 * and the first snapshot makes the others unnecessary.
 */
constexpr Duration snapshotSpread = 5s;
/** A snapshot that has not been read back from the log after this time is appended again. */
constexpr Duration snapshotRetry = 5s;
/** Minimum time between two requests to peers for one service. */
constexpr Duration requestInterval = 1s;
/** Set in the append ids of documents and clear in those of claims, so that the two never collide. */
constexpr std::uint64_t documentAppendBit = std::uint64_t { 1 } << 63U;

auto writeLog(Actions& actions, LogLevel level, std::string event, std::vector<LogField> fields) -> void
{
    actions.emplace_back(WriteLog { level, std::move(event), std::move(fields) });
}

/** Implements DocumentManager on one DocumentFold. */
class LogDocumentManager final : public DocumentManager {
public:
    explicit LogDocumentManager(const DocumentManagerSettings& settings)
        : settings_(settings)
        , random_(settings.seed ^ settings.router.value ^ settings.incarnation.value)
    {
    }

    auto handle(Time now, const LogRead& read, Actions& actions) -> void override;
    auto handle(Time now, const LogUnavailable& unavailable, Actions& actions) -> void override;
    auto handle(Time now, const AppendEnded& ended, Actions& actions) -> void override;
    auto handle(Time now, RouterId from, const DocumentRequest& request, Actions& actions) -> void override;
    auto handle(Time now, const DocumentTransfer& transfer, Actions& actions) -> void override;
    auto handlePeerVersions(Time now, RouterId from, std::span<const DocumentVersion> versions,
        Actions& actions) -> void override;
    auto tick(Time now, Actions& actions) -> void override;

    auto versions() const -> std::span<const DocumentVersion> override { return versions_; }
    auto document(ServiceId service) const -> std::shared_ptr<const Document> override;
    auto documents() const -> std::vector<std::shared_ptr<const Document>> override;
    auto takeChanged() -> std::vector<ServiceId> override { return std::exchange(changed_, {}); }
    auto status(Time now) const -> std::string override;

private:
    /** When the next snapshot of a service is to be appended, and the newest one seen on the log. */
    struct SnapshotSchedule {
        std::optional<Time> due;
        std::optional<Time> retryAt;
        /** `asOf` of the newest snapshot seen on the log. */
        std::optional<Offset> seen;
        /** When `seen` last changed. */
        Time seenAt;
    };

    auto reportChanges(Actions& actions) -> void;
    auto reportOutcomes(Actions& actions) -> void;
    /** True if the newest snapshot is in the older half of the log, so that a trim is near, or is too old. */
    auto needsSnapshot(Time now, const SnapshotSchedule& schedule, std::string_view service) const -> bool;
    auto appendSnapshotIfDue(Time now, std::string_view service, Actions& actions) -> void;
    auto serviceById(ServiceId service) const -> const ServiceDocument*;

    DocumentManagerSettings settings_;
    std::mt19937_64 random_;
    DocumentFold fold_;
    std::vector<DocumentVersion> versions_;
    std::vector<ServiceId> changed_;
    absl::flat_hash_map<ServiceId, std::string> names_;
    absl::flat_hash_map<ServiceId, Time> requested_;
    std::map<std::string, SnapshotSchedule, std::less<>> snapshotSchedules_;
    Offset nextOutcomeOffset_;
    bool tailing_ {};
    bool atTail_ {};
    /** Range of offsets on the log at the last read. */
    Offset first_;
    Offset end_;
};

auto LogDocumentManager::handle(Time now, const LogRead& read, Actions& actions) -> void
{
    if (read.stream != documentStream)
        return;
    fold_.apply(read);
    first_ = read.first;
    end_ = read.end;
    atTail_ = fold_.next() >= read.end;
    if (!read.records.empty() && read.records.front().offset > fold_.next())
        actions.emplace_back(TailLog { std::string(documentStream), fold_.next() });
    reportChanges(actions);
    reportOutcomes(actions);
}

auto LogDocumentManager::handle(Time now, const LogUnavailable& unavailable, Actions& actions) -> void
{
    if (unavailable.stream == documentStream)
        atTail_ = false;
}

auto LogDocumentManager::handle(Time now, const AppendEnded& ended, Actions& actions) -> void
{
    // The outcome of an append is not used: a snapshot counts once it is read back from the log, and
    // `tick` appends it again if it is not.
}

auto LogDocumentManager::handle(Time now, RouterId from, const DocumentRequest& request, Actions& actions)
    -> void
{
    const auto* const current = serviceById(request.service);
    if (current == nullptr || current->version <= request.have)
        return;
    actions.emplace_back(SendPeer { from,
        DocumentTransfer { request.service, current->version, current->digest,
            encodeRecord(fold_.snapshot(current->service)) } });
}

auto LogDocumentManager::handle(Time now, const DocumentTransfer& transfer, Actions& actions) -> void
{
    const auto refuse = [&](const std::string& reason) {
        writeLog(actions, LogLevel::Warning, "document-transfer-refused", { { "reason", reason } });
    };
    const auto decoded = decodeDocumentRecord(transfer.snapshot);
    if (!decoded)
        return refuse(decoded.error().text());
    const auto* const snapshot = std::get_if<SnapshotRecord>(&decoded.value());
    if (snapshot == nullptr || idOf<ServiceId>(snapshot->service) != transfer.service
        || snapshot->version != transfer.version || snapshot->digest != transfer.digest)
        return refuse("the document is not the one announced");
    const auto applied = fold_.applySnapshot(*snapshot);
    if (!applied && applied.error().code != Error::Code::Conflict)
        refuse(applied.error().text());
    reportChanges(actions);
    reportOutcomes(actions);
}

auto LogDocumentManager::handlePeerVersions(
    Time now, RouterId from, std::span<const DocumentVersion> versions, Actions& actions) -> void
{
    for (const auto& version : versions) {
        const auto* const current = serviceById(version.service);
        const auto isNewer = current == nullptr || current->version < version.version;
        const auto isExact = fold_.isComplete() && current != nullptr && fold_.isExact(current->service);
        if (!isNewer && isExact)
            continue;
        const auto [last, isFirst] = requested_.try_emplace(version.service, now);
        if (!isFirst && now - last->second < requestInterval)
            continue;
        last->second = now;
        // A router that may have missed records also requests documents that it has: the peer's
        // snapshot tells up to which offset the version was in force.
        const auto have = isExact ? current->version : Offset {};
        actions.emplace_back(SendPeer { from, DocumentRequest { version.service, have } });
    }
}

auto LogDocumentManager::tick(Time now, Actions& actions) -> void
{
    if (!tailing_) {
        tailing_ = true;
        actions.emplace_back(TailLog { std::string(documentStream), fold_.next() });
    }
    if (!atTail_)
        return;
    for (const auto* service : fold_.services())
        appendSnapshotIfDue(now, service->service, actions);
}

auto LogDocumentManager::needsSnapshot(
    Time now, const SnapshotSchedule& schedule, std::string_view service) const -> bool
{
    const auto half = first_.value + (end_.value - first_.value) / 2;
    return fold_.snapshotAsOf(service).value_or(Offset {}).value < half
        || now - schedule.seenAt > settings_.snapshotInterval;
}

auto LogDocumentManager::appendSnapshotIfDue(Time now, std::string_view service, Actions& actions) -> void
{
    if (!fold_.isExact(service) || !fold_.isComplete())
        return;
    const auto [found, isNew] = snapshotSchedules_.try_emplace(std::string(service));
    auto& schedule = found->second;
    const auto seen = fold_.snapshotAsOf(service);
    if (isNew || seen != schedule.seen) {
        schedule.seen = seen;
        schedule.seenAt = now;
    }
    if (!needsSnapshot(now, schedule, service)) {
        schedule.due.reset();
        schedule.retryAt.reset();
        return;
    }
    if (!schedule.due) {
        auto spread = std::uniform_int_distribution<Duration::rep>(0, snapshotSpread.count());
        schedule.due = now + Duration(spread(random_));
    }
    if (now < *schedule.due || (schedule.retryAt && now < *schedule.retryAt))
        return;
    schedule.retryAt = now + snapshotRetry;
    actions.emplace_back(AppendLog { AppendId { random_() | documentAppendBit }, std::string(documentStream),
        encodeRecord(fold_.snapshot(service)) });
}

auto LogDocumentManager::reportChanges(Actions& actions) -> void
{
    auto versions = std::vector<DocumentVersion>();
    for (const auto* service : fold_.services()) {
        const auto id = service->document->id;
        names_.try_emplace(id, service->service);
        versions.push_back({ id, service->version, service->digest });
        const auto isSame = std::any_of(versions_.begin(), versions_.end(),
            [&](const auto& old) { return old.service == id && old.version == service->version; });
        if (isSame)
            continue;
        if (std::find(changed_.begin(), changed_.end(), id) == changed_.end())
            changed_.push_back(id);
        writeLog(actions, LogLevel::Info, "document-in-force",
            { { "service", service->service }, { "version", std::to_string(service->version.value) } });
    }
    versions_ = std::move(versions);
}

auto LogDocumentManager::reportOutcomes(Actions& actions) -> void
{
    for (const auto& outcome : fold_.outcomes()) {
        if (outcome.offset < nextOutcomeOffset_)
            continue;
        nextOutcomeOffset_ = Offset { outcome.offset.value + 1 };
        const auto isAccepted = outcome.refusal.empty();
        writeLog(actions, isAccepted ? LogLevel::Info : LogLevel::Warning,
            isAccepted ? "edit-accepted" : "edit-refused",
            { { "service", outcome.service }, { "editId", outcome.editId }, { "author", outcome.author },
                { "reason", outcome.refusal } });
    }
}

auto LogDocumentManager::serviceById(ServiceId service) const -> const ServiceDocument*
{
    const auto name = names_.find(service);
    return name == names_.end() ? nullptr : fold_.find(name->second);
}

auto LogDocumentManager::document(ServiceId service) const -> std::shared_ptr<const Document>
{
    const auto* const current = serviceById(service);
    return current == nullptr ? nullptr : current->document;
}

auto LogDocumentManager::documents() const -> std::vector<std::shared_ptr<const Document>>
{
    auto all = std::vector<std::shared_ptr<const Document>>();
    for (const auto* service : fold_.services())
        all.push_back(service->document);
    return all;
}

auto LogDocumentManager::status(Time now) const -> std::string
{
    auto services = json::array();
    for (const auto* service : fold_.services())
        services.push_back({ { "service", service->service }, { "version", service->version.value },
            { "digest", hexText(service->digest) }, { "exact", fold_.isExact(service->service) } });
    auto outcomes = json::array();
    for (const auto& outcome : fold_.outcomes())
        outcomes.push_back(
            { { "service", outcome.service }, { "editId", outcome.editId }, { "author", outcome.author },
                { "version", outcome.version.value }, { "refusal", outcome.refusal } });
    return json::serialize(json::object { { "next", fold_.next().value }, { "atTail", atTail_ },
        { "complete", fold_.isComplete() }, { "services", std::move(services) },
        { "edits", std::move(outcomes) } });
}

} // namespace

auto DocumentManager::create(const DocumentManagerSettings& settings) -> std::unique_ptr<DocumentManager>
{
    return std::make_unique<LogDocumentManager>(settings);
}

} // namespace camphorshunt
