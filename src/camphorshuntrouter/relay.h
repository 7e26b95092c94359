#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <span>
#include <unordered_map>
#include <vector>

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "camphorshunt/callermemory.h"
#include "camphorshunt/result.h"
#include "camphorshunt/retrywindow.h"
#include "camphorshunt/ring.h"
#include "camphorshunt/routetable.h"

#include "calleradmission.h"
#include "callerconnection.h"
#include "exchange.h"
#include "overloadmonitor.h"
#include "relaymessages.h"
#include "requesttotals.h"
#include "routerlog.h"
#include "routermetrics.h"
#include "servicebalancer.h"
#include "sharedstate.h"
#include "threadload.h"
#include "upstreamavailability.h"
#include "upstreampool.h"

namespace camphorshunt::router {

/**
 * Accepts callers' connections and relays their requests to upstreams. Both ends of every request are served
 * by one thread, so that a stream's events never cross threads.
 */
class Relay {
public:
    struct Settings {
        Endpoint listen;
        std::string failureDomain;
        RetryWindow::Settings retries;
        std::size_t maxCallers = 2000;
        /** Bytes that may be held for callers. */
        std::size_t callerMemory = std::size_t { 64 } * 1024 * 1024;
        std::uint64_t seed = 1;
    };

    static auto listen(boost::asio::io_context& context, const Settings& settings,
        Ring<RelayToScheduler>& toScheduler, RouterLog& log, RouterMetrics& metrics, SharedState& state)
        -> Result<std::unique_ptr<Relay>>;

    /** Closes all connections of callers; requests that are in progress end. */
    ~Relay();
    Relay(const Relay&) = delete;
    Relay(Relay&&) = delete;
    auto operator=(const Relay&) -> Relay& = delete;
    auto operator=(Relay&&) -> Relay& = delete;

    /** Handles a message from the scheduler. */
    auto handleMessage(SchedulerToRelay message) -> void;

    // For connections and exchanges.
    auto addExchange(Exchange& exchange) -> std::uint64_t;
    auto removeExchange(std::uint64_t number) -> void { exchanges_.erase(number); }
    auto nextCallerNumber() -> std::uint64_t { return nextCaller_++; }
    auto removeCaller(const CallerConnection& caller) -> void;
    /** Sets the memory that a connection holds; connections are shed if there is not enough. */
    auto accountCaller(const CallerConnection& caller, OrganisationId organisation, std::size_t bytes,
        Time progressAt) -> void;
    auto callerMemory() const -> const CallerMemory& { return memory_; }
    /** Schedules a call of `Exchange::check` for this time. */
    auto scheduleCheck(const std::shared_ptr<Exchange>& exchange, Time time) -> void;
    auto requestPlacement(PeerPlacementRequest place) -> void;
    auto withdraw(std::uint64_t number, ServiceId service) -> void;
    auto reportStart(std::uint64_t number, ServiceId service) -> void;
    auto reportEnd(std::uint64_t number, ServiceId service, PlacementEnd end) -> void;
    /** An upstream answered, or a connection to one was not established in time. */
    auto recordReach(Time now, bool reached) -> void { overload_.recordReach(now, reached); }
    auto recordEnd(std::string_view organisation, RequestOutcome outcome) -> void
    {
        totals_.record(organisation, outcome);
    }
    auto availability() const -> const UpstreamAvailability& { return availability_; }
    /** Records what the head of an upstream's answer says about its availability. */
    auto recordAvailability(const UpstreamEntry& upstream, const platform::EngineAnswer& answer) -> void;
    /** Records what an upstream has said that answered at the address of another one. */
    auto recordOtherSender(const UpstreamEntry& addressed, const AnswerIntake::OtherSender& other) -> void;
    /** Tells the placer again why this router does not send to the engine that it chose. */
    auto repeatAvailability(const UpstreamEntry& upstream) -> void;
    auto log(LogLevel level, std::string_view event, std::vector<LogField> fields) -> void
    {
        log_.write(level, event, std::move(fields));
    }

    auto table() const -> const std::shared_ptr<const RouteTable>& { return table_; }
    auto limits() const -> const CallerLimits&;
    auto balancer(ServiceId service) -> ServiceBalancer&;
    auto retryBudget(ServiceId service) -> RetryWindow&;
    auto pool() -> UpstreamPool& { return pool_; }
    auto metrics() -> RouterMetrics& { return metrics_; }
    auto failureDomain() const -> std::uint64_t { return failureDomain_; }
    /** When a read of the directory of upstreams was last applied. */
    auto directoryReadAt() const -> Time { return state_.directoryReadAt.load(std::memory_order_relaxed); }
    auto isDraining() const -> bool { return draining_; }
    /**
     * Whether connections are kept after an answer: no drain, no overload, and fewer than half of
     * `maxCallers` open.
     */
    auto keepsCallersAlive() const -> bool
    {
        return !draining_ && !state_.divertsCallers && callers_.size() < settings_.maxCallers / 2;
    }
    /** Buffer that all connections share; its content must be consumed before the next read. */
    auto readBuffer() -> std::span<char> { return readBuffer_; }
    /** None unless the router shuts down. */
    auto shutdown() const -> std::optional<ShutdownProgress>;
    auto drawRandom() -> std::uint64_t { return random_(); }
    auto callers() const -> std::size_t { return callers_.size(); }
    /** Callers with a request or an answer that is not complete. */
    auto unfinishedCallers() const -> std::size_t;
    auto requestsInProgress() const -> std::size_t { return exchanges_.size(); }

private:
    using Tcp = boost::asio::ip::tcp;

    Relay(boost::asio::io_context& context, const Settings& settings, Ring<RelayToScheduler>& toScheduler,
        RouterLog& log, RouterMetrics& metrics, SharedState& state);

    auto accept() -> void;
    auto acceptWaiting() -> void;
    /** Closes some idle connections if there are too many; returns whether there is room for another. */
    auto makeRoom() -> bool;
    auto shedWaiting() -> std::size_t;
    auto acceptAfter(std::chrono::milliseconds pause) -> void;
    auto pauseListening() -> void;
    auto resumeListening() -> void;
    auto openAcceptor() -> Result<void>;
    auto stopsAccepting(Time now) const -> bool;
    auto tick() -> void;
    auto reportLoad(Time now) -> void;
    /** Logs how requests ended since the last call if lines of single requests may have been left out. */
    auto logTotals() -> void;
    auto watchOverload(Time now) -> void;
    auto checkExchanges(Time now) -> void;
    auto sweep(Time now) -> void;
    auto sweepAvailability(Time now) -> void;
    auto handle(const PlacementDecided& decided) -> void;
    auto handle(const FleetChanged& changed) -> void;
    auto handle(const StartDrain& drain) -> void;
    auto handle(const UpstreamLeaves& leaves) -> void;

    boost::asio::io_context& context_;
    Settings settings_;
    std::uint64_t failureDomain_;
    Ring<RelayToScheduler>& toScheduler_;
    RouterLog& log_;
    RouterMetrics& metrics_;
    SharedState& state_;
    Tcp::acceptor acceptor_;
    boost::asio::steady_timer acceptTimer_;
    boost::asio::steady_timer timer_;
    std::shared_ptr<const RouteTable> table_;
    std::shared_ptr<const UpstreamList> upstreams_;
    absl::flat_hash_map<UpstreamId, const UpstreamEntry*> byId_;
    std::size_t routers_ = 1;
    UpstreamPool pool_;
    /** The balancers refer to it. */
    UpstreamAvailability availability_;
    std::map<ServiceId, ServiceBalancer> balancers_;
    std::map<ServiceId, RetryWindow> retryBudgets_;
    absl::flat_hash_map<std::uint64_t, Exchange*> exchanges_;
    std::multimap<Time, std::weak_ptr<Exchange>> checks_;
    std::unordered_map<std::uint64_t, std::weak_ptr<CallerConnection>> callers_;
    std::uint64_t nextCaller_ = 1;
    CallerMemory memory_;
    /** Idle connections are not searched again before this time. */
    Time nextRoom_ {};
    std::array<char, std::size_t { 16 } * 1024> readBuffer_ {};
    std::uint64_t nextNumber_ = 1;
    ThreadLoad load_;
    OverloadMonitor overload_;
    RequestTotals totals_;
    /** Connections accepted since the last report of the load. */
    std::uint64_t accepted_ = 0;
    /** Those of them that were closed at once. */
    std::uint64_t shed_ = 0;
    /** Times since the last report of the load at which connections were refused for a while. */
    std::uint64_t listeningPauses_ = 0;
    Time tickDue_ {};
    Time nextSweep_ {};
    bool draining_ = false;
    Time drainBegan_ {};
    Time drainEnds_ {};
    std::mt19937_64 random_;
};

} // namespace camphorshunt::router
