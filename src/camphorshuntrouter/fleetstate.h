#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "camphorshunt/routetable.h"

#include "evacuation/evacuations.h"
#include "peerframe.h"
#include "relaymessages.h"
#include "routerlog.h"
#include "upstreamdirectory.h"

namespace camphorshunt::router {

/**
 * This router's copy of the configuration and the upstream directory, read from the store or received from a
 * peer. The version of the configuration never decreases.
 */
class FleetState {
public:
    explicit FleetState(RouterLog& log)
        : log_(log)
    {
    }

    /**
     * Returns true if the configuration is newer than the present one and replaces it. An unreadable one is
     * logged and ignored.
     */
    auto applyConfiguration(std::string json, std::string_view source) -> bool;

    enum class PageResult : std::uint8_t {
        Changed,
        Unchanged,
        /** Not applied: records before the page are missing, or its offsets belong to a later era. */
        Gap,
        /** Not applied: the store has come back from a copy since it was read. */
        Outdated,
    };

    /** Returns true if other failure domains than before are evacuated. */
    auto applyEvacuations(Time now, const EvacuationRead& read) -> bool;
    auto applyEvacuations(Time now, const EvacuationState& told) -> bool;

    /** A page of an unknown era is taken as one of the era known here. */
    auto applyDirectoryPage(Time now, const DirectoryPage& page) -> PageResult;
    /**
     * Removes upstreams that lapsed while the store was unreachable and have not returned in time. Returns
     * true if there were any.
     */
    auto removeExpired(Time now) -> bool;

    auto table() const -> const std::shared_ptr<const RouteTable>& { return table_; }
    auto version() const -> std::uint64_t { return table_ ? table_->version() : 0; }
    /** The operators' JSON text; empty before a configuration was received. */
    auto configuration() const -> const std::string& { return configuration_; }
    /** Log offset up to which the directory is applied; empty before the first snapshot. */
    auto directoryEnd() const -> const std::optional<std::uint64_t>& { return directoryEnd_; }
    /** Era of the store to which `directoryEnd` belongs; zero if unknown. */
    auto directoryEra() const -> std::uint64_t { return directoryEra_; }
    auto directorySnapshot() const -> DirectoryPage;
    auto upstreams() const -> std::shared_ptr<const UpstreamList>;
    auto evacuations() const -> const Evacuations& { return evacuations_; }

private:
    auto decode(const std::string& name, const std::optional<std::string>& value)
        -> UpstreamDirectory::NamedEntry;
    /** The store has come back from an older copy, of which the page is the first that is applied. */
    auto beginEra(Time now, const DirectoryPage& page) -> void;
    auto logEvacuations(std::span<const Evacuations::Change> changes, std::string_view source) -> void;
    auto applySnapshot(Time now, const DirectoryPage& page) -> bool;

    RouterLog& log_;
    std::string configuration_;
    std::shared_ptr<const RouteTable> table_;
    std::optional<std::uint64_t> directoryEnd_;
    std::uint64_t directoryEra_ = 0;
    std::map<std::string, std::string> rawEntries_;
    UpstreamDirectory directory_;
    Evacuations evacuations_;
};

} // namespace camphorshunt::router
