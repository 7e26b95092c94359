#include "documentfold.h"

#include <algorithm>

#include <boost/json/serialize.hpp>
#include <xxhash.h>

#include "documentjson.h"

namespace camphorshunt {

namespace {

/**
 * Maximum number of accepted edits stored with a document and in its snapshots. An edit that is
 * appended again is recognised only while it is among them.
 */
constexpr std::size_t maxAcceptedEdits = 32;
constexpr std::size_t maxOutcomes = 256;
/** Maximum size of the deferred edits of one service, in bytes. */
constexpr std::size_t maxDeferredBytes = std::size_t { 8 } * 1024 * 1024;

auto invalidEdit(std::string message) -> Error
{
    return failure(Error::Code::Invalid, "edit", std::move(message));
}

/** True if the edit has been accepted already: an append that is retried can land twice. */
auto wasAccepted(const ServiceDocument& current, std::string_view editId) -> bool
{
    return std::any_of(current.edits.begin(), current.edits.end(),
        [&](const auto& accepted) { return accepted.editId == editId; });
}

/** The text of the document after the edit. */
auto editedBody(const ServiceDocument& current, const EditRecord& edit) -> Result<std::string>
{
    if (edit.kind == EditKind::Whole)
        return edit.body;
    if (current.version.value == 0)
        return invalidEdit("a patch needs a document to apply to");
    auto value = parseDocumentJson(current.body);
    auto patch = parseDocumentJson(edit.body);
    if (!value)
        return value.error();
    if (!patch)
        return patch.error();
    applyMergePatch(value.value(), patch.value());
    return boost::json::serialize(value.value());
}

auto parseFor(std::string_view service, std::string_view body) -> Result<std::shared_ptr<const Document>>
{
    auto document = Document::parse(body);
    if (!document)
        return document.error();
    if (document.value().service != service)
        return failure(Error::Code::Invalid, "service",
            "'" + document.value().service + "' is not allowed; the edit is of '" + std::string(service)
                + "'");
    return std::make_shared<const Document>(std::move(document.value()));
}

} // namespace

auto documentDigest(std::string_view body) -> std::uint64_t { return XXH64(body.data(), body.size(), 0); }

auto DocumentFold::apply(const LogRead& read) -> void
{
    if (read.first > next_)
        restartAfterGap(read.first);
    for (const auto& record : read.records) {
        if (record.offset > next_)
            return;
        if (record.offset < next_)
            continue;
        next_ = Offset { record.offset.value + 1 };
        applyRecord(record);
    }
}

auto DocumentFold::restartAfterGap(Offset first) -> void
{
    next_ = first;
    gaplessSince_ = first;
    complete_ = complete_ && absentAsOf_ >= first;
    for (auto& [name, service] : services_) {
        service.deferredEdits.clear();
        service.deferredBytes = 0;
        service.deferredSince = first;
        service.exact = service.exact && service.asOf >= first;
    }
}

auto DocumentFold::serviceOf(const std::string& name) -> Service&
{
    const auto [found, isNew] = services_.try_emplace(name);
    auto& service = found->second;
    if (isNew) {
        service.current.service = name;
        service.deferredSince = gaplessSince_;
        service.exact = complete_;
        service.asOf = absentAsOf_;
    }
    return service;
}

auto DocumentFold::applyRecord(const LogRecord& record) -> void
{
    const auto decoded = decodeDocumentRecord(record.body);
    if (!decoded)
        return;
    if (const auto* const edit = std::get_if<EditRecord>(&decoded.value())) {
        auto& service = serviceOf(edit->service);
        if (service.exact)
            applyEdit(service, record.offset, *edit);
        else
            deferEdit(service, record.offset, *edit);
        return;
    }
    const auto& snapshot = std::get<SnapshotRecord>(decoded.value());
    if (snapshot.version.value > record.offset.value || snapshot.asOf > record.offset
        || !applySnapshot(snapshot))
        return;
    auto& seen = services_.find(snapshot.service)->second.snapshotAsOf;
    if (snapshot.complete)
        seen = std::max(seen.value_or(Offset {}), snapshot.asOf);
}

auto DocumentFold::applyEdit(Service& service, Offset offset, const EditRecord& edit) -> void
{
    if (offset < service.asOf)
        return;
    auto& current = service.current;
    if (edit.base != current.version) {
        if (wasAccepted(current, edit.editId))
            return;
        recordOutcome(offset, edit, {},
            "conflict: based on version " + std::to_string(edit.base.value) + ", but version "
                + std::to_string(current.version.value) + " was in force");
        return;
    }
    auto body = editedBody(current, edit);
    if (!body)
        return recordOutcome(offset, edit, {}, body.error().text());
    auto document = parseFor(edit.service, body.value());
    if (!document)
        return recordOutcome(offset, edit, {}, document.error().text());

    const auto version = DocumentVersionNumber { offset.value + 1 };
    current.version = version;
    current.body = std::move(body.value());
    current.digest = documentDigest(current.body);
    current.document = std::move(document.value());
    current.edits.push_back({ edit.editId, version });
    if (current.edits.size() > maxAcceptedEdits)
        current.edits.erase(current.edits.begin());
    recordOutcome(offset, edit, version, {});
}

auto DocumentFold::deferEdit(Service& service, Offset offset, const EditRecord& edit) -> void
{
    service.deferredEdits.push_back({ offset, edit });
    service.deferredBytes += edit.body.size();
    while (service.deferredBytes > maxDeferredBytes) {
        service.deferredBytes -= service.deferredEdits.front().edit.body.size();
        service.deferredSince = Offset { service.deferredEdits.front().offset.value + 1 };
        service.deferredEdits.pop_front();
    }
}

auto DocumentFold::applySnapshot(const SnapshotRecord& snapshot) -> Result<bool>
{
    if (documentDigest(snapshot.body) != snapshot.digest)
        return failure(Error::Code::Invalid, "digest", "does not match the document");
    if (snapshot.version > snapshot.asOf)
        return failure(Error::Code::Invalid, "version", "is above the offset it was read at");
    const auto* const current = find(snapshot.service);
    if (current != nullptr && current->version > snapshot.version)
        return failure(Error::Code::Conflict, "version", "is older than the one in force");
    if (current != nullptr && current->version == snapshot.version && current->digest != snapshot.digest)
        return failure(Error::Code::Conflict, "digest", "differs from that of the same version in force");

    auto document = parseFor(snapshot.service, snapshot.body);
    if (!document)
        return document.error();
    const auto isNewer = current == nullptr || current->version < snapshot.version;
    install(serviceOf(snapshot.service), snapshot, std::move(document.value()));
    applyServiceList(snapshot);
    return isNewer;
}

auto DocumentFold::install(
    Service& service, const SnapshotRecord& snapshot, std::shared_ptr<const Document> document) -> void
{
    auto& current = service.current;
    if (snapshot.version > current.version) {
        current.version = snapshot.version;
        current.digest = snapshot.digest;
        current.body = snapshot.body;
        current.document = std::move(document);
        current.edits = snapshot.edits;
    }
    if (service.exact) {
        service.asOf = std::max(service.asOf, snapshot.asOf);
        return;
    }
    if (snapshot.asOf < service.deferredSince)
        return;
    service.exact = true;
    service.asOf = snapshot.asOf;
    applyDeferredEdits(service);
}

auto DocumentFold::applyDeferredEdits(Service& service) -> void
{
    const auto deferred = std::move(service.deferredEdits);
    service.deferredEdits.clear();
    service.deferredBytes = 0;
    for (const auto& [offset, edit] : deferred)
        applyEdit(service, offset, edit);
}

auto DocumentFold::applyServiceList(const SnapshotRecord& snapshot) -> void
{
    if (complete_ || !snapshot.complete || snapshot.asOf < gaplessSince_)
        return;
    complete_ = true;
    absentAsOf_ = snapshot.asOf;
    const auto isListed = [&](const std::string& name) {
        return std::any_of(snapshot.services.begin(), snapshot.services.end(),
            [&](const auto& listed) { return listed.service == name; });
    };
    // Services with a document at that time need a snapshot of their own; all others had none, so
    // their deferred edits can be applied.
    for (const auto& listed : snapshot.services) {
        const auto [found, isNew] = services_.try_emplace(listed.service);
        if (!isNew)
            continue;
        found->second.current.service = listed.service;
        found->second.deferredSince = gaplessSince_;
    }
    for (auto& [name, service] : services_) {
        if (service.exact || service.current.version.value != 0 || isListed(name)
            || service.deferredSince > snapshot.asOf)
            continue;
        service.exact = true;
        service.asOf = snapshot.asOf;
        applyDeferredEdits(service);
    }
}

auto DocumentFold::recordOutcome(
    Offset offset, const EditRecord& edit, DocumentVersionNumber version, std::string refusal) -> void
{
    const auto isRecorded = std::any_of(outcomes_.begin(), outcomes_.end(), [&](const auto& outcome) {
        return outcome.editId == edit.editId && outcome.service == edit.service;
    });
    if (isRecorded)
        return;
    outcomes_.push_back({ edit.service, edit.editId, edit.author, offset, version, std::move(refusal) });
    if (outcomes_.size() > maxOutcomes)
        outcomes_.pop_front();
}

auto DocumentFold::isExact(std::string_view name) const -> bool
{
    const auto found = services_.find(name);
    return found == services_.end() ? complete_ : found->second.exact;
}

auto DocumentFold::find(std::string_view name) const -> const ServiceDocument*
{
    const auto found = services_.find(name);
    if (found == services_.end() || found->second.current.version.value == 0)
        return nullptr;
    return &found->second.current;
}

auto DocumentFold::services() const -> std::vector<const ServiceDocument*>
{
    auto present = std::vector<const ServiceDocument*>();
    for (const auto& [name, service] : services_) {
        if (service.current.version.value != 0)
            present.push_back(&service.current);
    }
    return present;
}

auto DocumentFold::snapshot(std::string_view name) const -> SnapshotRecord
{
    const auto& service = services_.find(name)->second;
    const auto& current = service.current;
    auto record = SnapshotRecord { .service = current.service,
        .version = current.version,
        .digest = current.digest,
        .asOf = service.exact ? std::max(service.asOf, next_) : current.version,
        .edits = current.edits,
        .complete = false,
        .services = {},
        .body = current.body };
    auto allExact = complete_;
    for (const auto& [other, state] : services_) {
        allExact = allExact && state.exact;
        if (state.current.version.value != 0)
            record.services.push_back({ other, state.current.version });
    }
    record.complete = allExact && service.asOf <= next_ && absentAsOf_ <= next_;
    return record;
}

auto DocumentFold::snapshotAsOf(std::string_view name) const -> std::optional<Offset>
{
    const auto found = services_.find(name);
    return found == services_.end() ? std::nullopt : found->second.snapshotAsOf;
}

} // namespace camphorshunt
