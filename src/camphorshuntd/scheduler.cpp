#include "scheduler.h"

#include <boost/asio/post.hpp>

#include "log.h"

namespace camphorshunt {

namespace {

auto coreNow() -> Time { return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now()); }

} // namespace

Scheduler::Scheduler(boost::asio::io_context& context, std::unique_ptr<Core> core, Duration tick,
    std::unique_ptr<Recorder> recorder, const Rings& rings, std::function<void()> onExit)
    : context_(context)
    , core_(std::move(core))
    , tick_(tick)
    , recorder_(std::move(recorder))
    , rings_(rings)
    , onExit_(std::move(onExit))
    , timer_(context)
{
    for (auto* const ring :
        { &rings_.fromCallers, &rings_.fromUpstreams, &rings_.fromPeers, &rings_.fromPlatform })
        ring->onItem([this](const Event& event) { handle(event); });
    rings_.fromTelemetry.onItem([this](StatusRequest request) {
        rings_.toTelemetry.push(StatusAnswer { request.id, core_->status(coreNow()) });
    });
}

auto Scheduler::start() -> void
{
    timer_.expires_after(tick_);
    scheduleTick();
}

auto Scheduler::drain() -> void
{
    boost::asio::post(context_, [this] { handle(DrainRequested {}); });
}

auto Scheduler::handle(const Event& event) -> void
{
    const auto now = coreNow();
    actions_.clear();
    core_->handle(now, event, actions_);
    if (recorder_)
        recorder_->write(now, event, actions_);
    handledAt_ = now;
    if (const auto* const ended = std::get_if<AttemptEnded>(&event))
        rings_.toTelemetry.push(AttemptRecorded { ended->request, ended->attempt, ended->result, now });
    for (auto& action : actions_)
        std::visit([this](auto& order) { route(std::move(order)); }, action);
}

/** Skips ticks that the thread missed while it was busy, so that they do not fire in a burst. */
auto Scheduler::scheduleTick() -> void
{
    timer_.async_wait([this](const boost::system::error_code& code) {
        if (code)
            return;
        handle(Tick {});
        const auto next = std::max(timer_.expiry() + tick_, std::chrono::steady_clock::now());
        timer_.expires_at(next);
        scheduleTick();
    });
}

auto Scheduler::route(const WriteLog& action) -> void { writeLog(action.level, action.event, action.fields); }

} // namespace camphorshunt
