#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "eventqueue.h"
#include "storegateway.h"

namespace camphorshunt::load {

/** The platform's store in simulated time: the configuration, the directory and the routers' records. */
class SimulatedStore {
public:
    using Answer = std::function<void(router::StoreToScheduler)>;

    /** `delay`: of a call, and again of its answer. */
    SimulatedStore(EventQueue& events, Duration delay, std::size_t engines);

    /** The text of a configuration with one model service. */
    static auto configuration(std::uint64_t version) -> std::string;
    /** The record of one of its engines. */
    static auto directoryRecord(std::size_t index, std::string_view state) -> router::DirectoryRecord;

    auto call(router::SchedulerToStore call, Answer answer) -> void;
    /** Adds a newer record of an engine to the directory. */
    auto record(router::DirectoryRecord record) -> void;
    /** The store comes back from a copy that lacks the newest records of the directory. */
    auto returnFromCopy(std::size_t lostRecords) -> void;
    /** As a store that is at fault; eras only rise otherwise. */
    auto setEra(std::uint64_t era) -> void { era_ = era; }
    /** Publishes the next version of the configuration. */
    auto publish() -> void;

    auto version() const -> std::uint64_t { return version_; }
    /** Number of calls in each second since the start. */
    auto callsBySecond() const -> const std::vector<std::uint64_t>& { return callsBySecond_; }

private:
    struct LongPoll {
        std::uint64_t from = 0;
        Answer answer;
    };

    auto handle(const router::ReadDirectory& read, const Answer& answer) -> void;
    auto handle(const router::ReadConfiguration& read, const Answer& answer) -> void;
    auto handle(const router::JoinFleet& join, const Answer& answer) -> void;
    auto handle(const router::StoreQuarantine& store, const Answer& answer) -> void;
    auto handle(const router::ReadQuarantines& read, const Answer& answer) -> void;
    auto answerLater(const Answer& answer, router::StoreToScheduler message) -> void;
    auto newest() const -> router::ConfigurationRead;

    EventQueue& events_;
    Time start_;
    Duration delay_;
    std::vector<router::DirectoryRecord> directory_;
    std::uint64_t era_ = 1;
    std::uint64_t version_ = 0;
    std::map<std::string, router::RouterAddress> routers_;
    std::map<std::string, router::PeerQuarantine> quarantines_;
    std::map<std::uint64_t, LongPoll> longPolls_;
    std::uint64_t nextPoll_ = 0;
    std::vector<std::uint64_t> callsBySecond_;
};

} // namespace camphorshunt::load
