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

/** What became of an edit. */
struct EditOutcome {
    std::string service;
    std::string editId;
    std::string author;
    Offset offset;
    /** Zero when refused. */
    DocumentVersionNumber version;
    /** Why it was refused; empty when accepted. */
    std::string refusal;
};

/** The document of one service as a fold knows it. */
struct ServiceDocument {
    std::string service;
    DocumentVersionNumber version;
    std::uint64_t digest {};
    std::string body;
    std::shared_ptr<const Document> document;
    std::vector<AcceptedEdit> edits;
};

/**
 * The fold of the stream `documents`. Each service's version only goes up, and all readers of the
 * same records agree, wherever they began: a reader that has missed records of a service keeps its
 * later edits aside until a snapshot or a peer tells the state that they follow.
 */
class DocumentFold {
public:
    /** Applies the records of one read that are new; a gap makes all services wait for a snapshot. */
    auto apply(const LogRead& read) -> void;
    /** Takes a peer's state; refused unless it is valid, matches its digest and is not older. */
    auto applySnapshot(const SnapshotRecord& snapshot) -> Result<bool>;

    /** The first offset not read yet. */
    auto next() const -> Offset { return next_; }
    /** False while records of the service, or of any service, may have been missed. */
    auto isExact(std::string_view service) const -> bool;
    auto isComplete() const -> bool { return complete_; }
    auto find(std::string_view service) const -> const ServiceDocument*;
    auto services() const -> std::vector<const ServiceDocument*>;
    /** The state of a service, for the log or a peer. */
    auto snapshot(std::string_view service) const -> SnapshotRecord;
    /** `asOf` of the newest snapshot seen on the log from which the service can be rebuilt. */
    auto snapshotAsOf(std::string_view service) const -> std::optional<Offset>;
    /** Outcomes of the latest edits, oldest first, bounded. */
    auto outcomes() const -> const std::deque<EditOutcome>& { return outcomes_; }

private:
    struct DeferredEdit {
        Offset offset;
        EditRecord edit;
    };
    struct Service {
        ServiceDocument current;
        /** The state is that after all records before this offset, if exact. */
        Offset asOf;
        bool exact {};
        std::optional<Offset> snapshotAsOf;
        /** Edits read while not exact, from `deferredSince` on. */
        std::deque<DeferredEdit> deferredEdits;
        std::size_t deferredBytes {};
        Offset deferredSince;
    };

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
    /** Where the present run of reading without a gap began. */
    Offset gaplessSince_;
    /** True when a service that is not known here has had no document before `absentAsOf_`. */
    bool complete_ = true;
    Offset absentAsOf_;
};

} // namespace camphorshunt
