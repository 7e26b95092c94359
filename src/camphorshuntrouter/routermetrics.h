#pragma once

#include <map>
#include <string_view>

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include "camphorshunt/enginestate.h"
#include "camphorshunt/fleetreport.h"
#include "camphorshunt/placement.h"
#include "camphorshunt/time.h"

#include "placer.h"

namespace camphorshunt::router {

/** Counters, gauges and histograms of one router. Thread-safe. */
class RouterMetrics {
public:
    explicit RouterMetrics(prometheus::Registry& registry);

    auto requestEnded(std::string_view outcome, Duration time) -> void;
    auto firstByte(Duration time) -> void;
    auto refused(RefusalReason reason) -> void;
    auto attemptEnded(PlacementEnd end) -> void;
    auto storeCall(bool succeeded) -> void;
    /** An engine was asked whether it still runs. */
    auto engineQueried(EngineState state) -> void;
    /** An upstream's answer was the first to say so. */
    auto upstreamLeaves() -> void;
    auto upstreamRests() -> void;
    /** A request was not sent to the upstream that was chosen, as it leaves or rests. */
    auto sendWithheld() -> void { sendsWithheld_->Increment(); }

    auto setConnectionsOpened(std::uint64_t count) -> void { connectionsOpened_->Set(double(count)); }
    auto setRouters(std::size_t count) -> void { routers_->Set(double(count)); }
    auto setConfiguration(std::uint64_t version) -> void { configuration_->Set(double(version)); }
    auto setWaiting(std::size_t count) -> void { waiting_->Set(double(count)); }
    auto setOwnedServices(std::size_t count) -> void { ownedServices_->Set(double(count)); }
    auto setAvailability(std::size_t leaving, std::size_t resting, std::size_t evacuated) -> void;
    auto setWarmup(const Placer::WarmupReport& report) -> void;
    auto setDirectoryAge(Duration age) -> void;
    auto setFleet(const FleetReport& report) -> void;
    /** `late`: time from when a tick of the scheduler was due. */
    auto schedulerTick(Duration late) -> void;
    auto placingPass(Duration time) -> void;
    /** `late`: time from when a tick of the relay was due. */
    auto relayTick(Duration late) -> void;
    auto setCallers(std::size_t count) -> void { callers_->Set(double(count)); }
    auto setCallerMemory(std::size_t held, std::size_t capacity) -> void;
    /** A limit closed a caller's connection. */
    auto callerClosed(std::string_view limit) -> void;

private:
    prometheus::Family<prometheus::Counter>* requests_;
    prometheus::Family<prometheus::Counter>* refusals_;
    prometheus::Family<prometheus::Counter>* attempts_;
    prometheus::Family<prometheus::Counter>* storeCalls_;
    prometheus::Family<prometheus::Counter>* announcements_;
    prometheus::Family<prometheus::Counter>* engineQueries_;
    prometheus::Counter* sendsWithheld_;
    prometheus::Gauge* leaving_;
    prometheus::Gauge* resting_;
    prometheus::Gauge* evacuated_;
    prometheus::Histogram* requestTime_;
    prometheus::Histogram* firstByteTime_;
    prometheus::Gauge* connectionsOpened_;
    prometheus::Gauge* routers_;
    prometheus::Gauge* configuration_;
    prometheus::Gauge* waiting_;
    prometheus::Gauge* ownedServices_;
    prometheus::Gauge* coldEngines_;
    prometheus::Gauge* coldAdmitted_;
    prometheus::Gauge* directoryAge_;
    prometheus::Gauge* configurationAge_;
    prometheus::Gauge* hub_;
    prometheus::Gauge* links_;
    prometheus::Gauge* silentLinks_;
    prometheus::Gauge* roles_;
    prometheus::Histogram* schedulerLateTime_;
    prometheus::Histogram* placingPassTime_;
    prometheus::Histogram* relayLateTime_;
    prometheus::Gauge* callers_;
    prometheus::Gauge* callerMemory_;
    prometheus::Gauge* callerMemoryLimit_;
    prometheus::Family<prometheus::Counter>* callersClosed_;
};

} // namespace camphorshunt::router
