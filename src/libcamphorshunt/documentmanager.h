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

/** Name of the log stream that carries all services' documents. */
inline constexpr std::string_view documentStream = "documents";

struct DocumentManagerSettings {
    RouterId router;
    Incarnation incarnation;
    std::uint64_t seed {};
    /** A document whose newest snapshot on the log is older gets a new one; well below the retention. */
    Duration snapshotInterval = 600s;
};

/**
 * Folds the document stream: an edit counts only if it names the version in force at its own
 * offset. A router only moves up. Appends snapshots before the log forgets, and trades documents
 * with peers so that an outage of the log or a restart loses nothing.
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
    /** What a peer says it has; asks for what is newer there. */
    virtual auto handlePeerVersions(
        Time now, RouterId from, std::span<const DocumentVersion> versions, Actions& actions) -> void
        = 0;
    virtual auto tick(Time now, Actions& actions) -> void = 0;

    /** Versions in force here, to be told to peers. */
    virtual auto versions() const -> std::span<const DocumentVersion> = 0;
    /** Null when the service has no document. */
    virtual auto document(ServiceId service) const -> std::shared_ptr<const Document> = 0;
    virtual auto documents() const -> std::vector<std::shared_ptr<const Document>> = 0;
    /** Services whose document changed since the last call. */
    virtual auto takeChanged() -> std::vector<ServiceId> = 0;
    virtual auto status(Time now) const -> std::string = 0;
};

} // namespace camphorshunt
