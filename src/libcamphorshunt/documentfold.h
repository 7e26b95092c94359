#pragma once

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "camphorshunt/document.h"
#include "camphorshunt/event.h"
#include "camphorshunt/logrecord.h"

namespace camphorshunt {

/** XXH64 of a document's text. */
auto documentDigest(std::string_view body) -> std::uint64_t;

/** The outcome of an edit that was read from the log. */
struct EditOutcome {
    std::string service;
    std::string editId;
    std::string author;
    Offset offset;
    /** Zero when refused. */
    DocumentVersionNumber version;
    /** The reason for the refusal; empty when accepted. */
    std::string refusal;
};

/** The document in force for one service, with the latest accepted edits, oldest first. */
struct ServiceDocument {
    std::string service;
    DocumentVersionNumber version;
    std::uint64_t digest {};
    std::string body;
    std::shared_ptr<const Document> document;
    std::vector<AcceptedEdit> edits;
};

/**
 * The fold of the stream `documents`: applies its records in order and holds the resulting document
 * of each service. The version of a document is the offset of the edit that made it, plus one, and
 * never decreases. All readers of the same records agree, whichever record they start at: a reader
 * that may have missed records of a service defers the service's later edits until a snapshot, from
 * the log or from a peer, gives the state that they follow.
 */
class DocumentFold {
public:
    /**
     * Applies the records of one read that are new. After a gap between reads, edits of a service are
     * deferred until a snapshot covers the gap.
     */
    auto apply(const LogRead& read) -> void;
    /**
     * Applies a snapshot from the log or a peer. Refused unless the document is valid, matches its
     * digest and is not older than the one in force. True if it is newer than the one in force.
     */
    auto applySnapshot(const SnapshotRecord& snapshot) -> Result<bool>;

    /** The first offset not read yet. */
    auto next() const -> Offset { return next_; }
    /** False while records of the service may have been missed. */
    auto isExact(std::string_view service) const -> bool;
    /** False while the fold may be missing a service altogether. */
    auto isComplete() const -> bool { return complete_; }
    /** Null when the service has no document. */
    auto find(std::string_view service) const -> const ServiceDocument*;
    auto services() const -> std::vector<const ServiceDocument*>;
    /** The state of a service as a record for the log or a peer; the service must be one of `services`. */
    auto snapshot(std::string_view service) const -> SnapshotRecord;
    /** `asOf` of the newest snapshot seen on the log from which the service can be rebuilt. */
    auto snapshotAsOf(std::string_view service) const -> std::optional<Offset>;
    /** Outcomes of the latest edits, oldest first; a bounded number. */
    auto outcomes() const -> const std::deque<EditOutcome>& { return outcomes_; }

private:
    struct DeferredEdit {
        Offset offset;
        EditRecord edit;
    };
    struct Service {
        ServiceDocument current;
        /** If exact, the state covers all records before this offset. */
        Offset asOf;
        bool exact {};
        std::optional<Offset> snapshotAsOf;
        /** Edits read while not exact, from `deferredSince` on. The oldest are dropped at a size limit. */
        std::deque<DeferredEdit> deferredEdits;
        std::size_t deferredBytes {};
        Offset deferredSince;
    };

    /** Adds the service if it is new. */
    auto serviceOf(const std::string& name) -> Service&;
    auto restartAfterGap(Offset first) -> void;
    auto applyRecord(const LogRecord& record) -> void;
    auto applyEdit(Service& service, Offset offset, const EditRecord& edit) -> void;
    auto deferEdit(Service& service, Offset offset, const EditRecord& edit) -> void;
    auto install(Service& service, const SnapshotRecord& snapshot, std::shared_ptr<const Document> document)
        -> void;
    auto applyServiceList(const SnapshotRecord& snapshot) -> void;
    auto applyDeferredEdits(Service& service) -> void;
    auto recordOutcome(
        Offset offset, const EditRecord& edit, DocumentVersionNumber version, std::string refusal) -> void;

    std::map<std::string, Service, std::less<>> services_;
    std::deque<EditOutcome> outcomes_;
    Offset next_;
    /** Every record from this offset to `next_` has been read. */
    Offset gaplessSince_;
    /** True if a service missing from `services_` had no document before offset `absentAsOf_`. */
    bool complete_ = true;
    Offset absentAsOf_;
};

} // namespace camphorshunt
