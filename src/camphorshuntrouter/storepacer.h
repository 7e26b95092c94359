#pragma once

#include <optional>
#include <string>
#include <vector>

#include "camphorshunt/time.h"

#include "storegateway.h"

namespace camphorshunt::router {

/**
 * Schedules the calls to the store. One router, the reader, reads the store for the whole fleet; the others
 * call it only when they have not received an update from the reader for some time.
 */
class StorePacer {
public:
    explicit StorePacer(std::string endpoint)
        : endpoint_(std::move(endpoint))
    {
    }

    struct RouterState {
        std::optional<std::uint64_t> directoryEnd;
        bool hasConfiguration = false;
        bool isReader = false;
        bool hasPeers = false;
    };

    /** Calls to make now. A call of one kind is not due again before its result has been reported. */
    auto dueCalls(Time now, const RouterState& state) -> std::vector<SchedulerToStore>;

    auto directoryRead(Time now, const Result<DirectoryPage>& page) -> void;
    auto configurationRead(Time now, const Result<ConfigurationRead::Content>& content) -> void;
    auto fleetJoined(Time now, bool succeeded) -> void;
    /** A page of the directory was applied, from the store or from a peer. */
    auto directoryUpdated(Time now) -> void { lastDirectoryUpdate_ = now; }
    /** A heartbeat of the reader shows that this router's configuration is up to date. */
    auto configurationConfirmed(Time now) -> void { lastConfigurationUpdate_ = now; }

    /** Whether the last read was answered. */
    auto isReachable() const -> bool { return reachable_; }
    auto lastDirectoryUpdate() const -> Time { return lastDirectoryUpdate_; }

private:
    auto directoryDue(Time now, const RouterState& state) const -> bool;
    auto configurationDue(Time now, const RouterState& state) const -> bool;

    std::string endpoint_;
    bool reachable_ = true;
    bool directoryRequested_ = false;
    bool configurationRequested_ = false;
    bool joinRequested_ = false;
    /** The store has expired the records that follow `directoryEnd`; the entire directory must be read. */
    bool directoryExpired_ = false;
    std::optional<std::uint64_t> configurationEnd_;
    Time nextDirectory_ {};
    Time nextConfiguration_ {};
    Time nextJoin_ {};
    Time lastDirectoryUpdate_ {};
    Time lastConfigurationUpdate_ {};
};

} // namespace camphorshunt::router
