#pragma once

#include <optional>
#include <string>
#include <vector>

#include "camphorshunt/time.h"

#include "storegateway.h"

namespace camphorshunt::router {

/**
 * Says when to call the store. One router, the reader, reads for all; the others call it themselves only
 * when they have had no news from the reader for a while.
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

    auto dueCalls(Time now, const RouterState& state) -> std::vector<SchedulerToStore>;

    auto directoryRead(Time now, const Result<DirectoryPage>& page) -> void;
    auto configurationRead(Time now, const Result<ConfigurationRead::Content>& content) -> void;
    auto fleetJoined(Time now, bool succeeded) -> void;
    /** The reader has told what it read. */
    auto directoryUpdated(Time now) -> void { lastDirectoryUpdate_ = now; }
    auto configurationConfirmed(Time now) -> void { lastConfigurationUpdate_ = now; }

    /** The last call was answered. */
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
    /** The store has dropped the records that follow what is known. */
    bool directoryExpired_ = false;
    std::optional<std::uint64_t> configurationEnd_;
    Time nextDirectory_ {};
    Time nextConfiguration_ {};
    Time nextJoin_ {};
    Time lastDirectoryUpdate_ {};
    Time lastConfigurationUpdate_ {};
};

} // namespace camphorshunt::router
