#pragma once

#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <vector>

#include "camphorshunt/action.h"
#include "camphorshunt/document.h"
#include "camphorshunt/event.h"
#include "camphorshunt/ids.h"
#include "camphorshunt/time.h"

namespace camphorshunt {

/** Name of the log stream that holds the edits and snapshots of all services' documents. */
inline constexpr std::string_view documentStream = "documents";

struct DocumentManagerSettings {
    RouterId router;
    Incarnation incarnation;
    std::uint64_t seed {};
    /**
     * A new snapshot is appended when the newest one on the log is older than this.
     * Must be well below the log's retention time.
     */
    Duration snapshotInterval = 600s;
};

/**
 * Maintains the documents of all services by folding the document stream. An edit is accepted only
 * if its base is the version in force at the edit's own offset. Versions never decrease in a router.
 * Appends snapshots before the log trims the records they replace, and exchanges documents with
 * peers, so that documents survive an outage of the log and restarts of single routers.
 */
class DocumentManager {
public:
    static auto create(const DocumentManagerSettings& settings) -> std::unique_ptr<DocumentManager>;
    virtual ~DocumentManager() = default;

    virtual auto handle(Time now, const LogRead& read, Actions& actions) -> void = 0;
    virtual auto handle(Time now, const LogUnavailable& unavailable, Actions& actions) -> void = 0;
    virtual auto handle(Time now, const AppendEnded& ended, Actions& actions) -> void = 0;
    virtual auto handle(Time now, RouterId from, const DocumentRequest& request, Actions& actions) -> void
        = 0;
    virtual auto handle(Time now, const DocumentTransfer& transfer, Actions& actions) -> void = 0;
    /**
     * Compares a peer's versions with its own and requests documents that are newer at the peer. While
     * records may have been missed here, requests the others too.
     */
    virtual auto handlePeerVersions(
        Time now, RouterId from, std::span<const DocumentVersion> versions, Actions& actions) -> void
        = 0;
    virtual auto tick(Time now, Actions& actions) -> void = 0;

    /** Versions in force here, which membership sends to peers; valid until the next `handle`. */
    virtual auto versions() const -> std::span<const DocumentVersion> = 0;
    /** Null when the service has no document. */
    virtual auto document(ServiceId service) const -> std::shared_ptr<const Document> = 0;
    virtual auto documents() const -> std::vector<std::shared_ptr<const Document>> = 0;
    /** Services whose document changed since the last call; each is listed once. */
    virtual auto takeChanged() -> std::vector<ServiceId> = 0;
    /** JSON for the operator's status query. */
    virtual auto status(Time now) const -> std::string = 0;
};

} // namespace camphorshunt
