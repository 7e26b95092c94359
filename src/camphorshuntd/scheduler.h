#pragma once

#include <functional>
#include <memory>

#include <boost/asio/steady_timer.hpp>

#include "camphorshunt/core.h"

#include "messages.h"
#include "recorder.h"

namespace camphorshunt {

/**
 * Runs the core on the scheduler thread: passes it events and forwards the actions that it returns to the
 * threads that carry them out.
 */
class Scheduler {
public:
    struct Rings {
        Ring<Event>& fromCallers;
        Ring<Event>& fromUpstreams;
        Ring<Event>& fromPeers;
        Ring<Event>& fromPlatform;
        Ring<StatusRequest>& fromTelemetry;
        Ring<SchedulerToCallers>& toCallers;
        Ring<SchedulerToUpstreams>& toUpstreams;
        Ring<SchedulerToPeers>& toPeers;
        Ring<SchedulerToPlatform>& toPlatform;
        Ring<SchedulerToTelemetry>& toTelemetry;
    };

    /** `recorder` may be null; `onExit` is called on the scheduler thread when a drain has ended. */
    Scheduler(boost::asio::io_context& context, std::unique_ptr<Core> core, Duration tick,
        std::unique_ptr<Recorder> recorder, const Rings& rings, std::function<void()> onExit);

    /** Starts the timer of `Tick` events. Must be called on the scheduler thread. */
    auto start() -> void;
    /** Posts a `DrainRequested` event. May be called on any thread. */
    auto drain() -> void;

private:
    auto handle(const Event& event) -> void;
    auto scheduleTick() -> void;

    auto route(AnswerCaller action) -> void { rings_.toCallers.push(std::move(action)); }
    auto route(FinishCaller action) -> void { rings_.toCallers.push(std::move(action)); }
    auto route(SendAttempt action) -> void { rings_.toUpstreams.push(std::move(action)); }
    auto route(CancelAttempt action) -> void { rings_.toUpstreams.push(action); }
    auto route(PollLoad action) -> void { rings_.toUpstreams.push(std::move(action)); }
    auto route(KeepPeer action) -> void { rings_.toPeers.push(std::move(action)); }
    auto route(SendPeer action) -> void { rings_.toPeers.push(std::move(action)); }
    auto route(AppendLog action) -> void { rings_.toPlatform.push(std::move(action)); }
    auto route(TailLog action) -> void { rings_.toPlatform.push(std::move(action)); }
    auto route(SetReady action) -> void { rings_.toTelemetry.push(action); }
    auto route(NoteStep action) -> void { rings_.toTelemetry.push(StepRecorded { action, handledAt_ }); }
    auto route(const WriteLog& action) -> void;
    auto route(Exit action) -> void { onExit_(); }

    boost::asio::io_context& context_;
    std::unique_ptr<Core> core_;
    Duration tick_;
    std::unique_ptr<Recorder> recorder_;
    Rings rings_;
    std::function<void()> onExit_;
    boost::asio::steady_timer timer_;
    Actions actions_;
    /** When the core handled the event whose actions are being routed. */
    Time handledAt_;
};

} // namespace camphorshunt
