#include "loadrun.h"

namespace camphorshunt::load {

namespace {

constexpr auto idleConnections = std::size_t { 2000 };
constexpr auto idleTimeout = std::chrono::milliseconds(20'000);

} // namespace

LoadRun::LoadRun(const Plan& plan)
    : plan_(plan)
    , client_(net::HttpClient::create(context_, idleConnections, idleTimeout))
    , measurements_(plan)
    , sampler_(context_, *client_, plan, measurements_)
    , sampleTimer_(context_)
{
    for (auto at = std::size_t {}; at < plan.organisations.size(); ++at)
        generators_.emplace_back(context_, *client_, plan, at, measurements_);
}

auto LoadRun::run() -> void
{
    for (auto& generator : generators_)
        generator.start();
    sampler_.start();
    sampleTimer_.expires_after(sampleInterval);
    scheduleSample();
    for (const auto& fault : plan_.faults)
        scheduleAfter(fault.at, [this, &fault] { inject(fault); });
    scheduleAfter(plan_.warmUp, [this] {
        measurements_.startMeasuring();
        sampler_.startMeasuring();
    });
    scheduleAfter(plan_.duration, [this] {
        sampleTimer_.cancel();
        sampler_.finish([this] { context_.stop(); });
    });
    context_.run();
}

auto LoadRun::scheduleAfter(Milliseconds delay, std::function<void()> callback) -> void
{
    const auto timer = std::make_shared<boost::asio::steady_timer>(context_, delay);
    timer->async_wait([timer, callback = std::move(callback)](const boost::system::error_code& code) {
        if (!code)
            callback();
    });
}

auto LoadRun::scheduleSample() -> void
{
    sampleTimer_.async_wait([this](const boost::system::error_code& code) {
        if (code)
            return;
        measurements_.sample();
        sampleTimer_.expires_at(sampleTimer_.expiry() + sampleInterval);
        scheduleSample();
    });
}

auto LoadRun::inject(const PlannedFault& fault) -> void
{
    auto spec = net::HttpCallSpec {};
    spec.endpoint = fault.endpoint;
    spec.request = { "POST", "/admin/faults", { { "Content-Type", "application/json" } }, fault.body };
    const auto call = std::make_shared<std::shared_ptr<net::HttpCall>>();
    auto handlers = net::HttpCallHandlers {};
    handlers.onHead = [](const net::HttpResponseHead&) {};
    handlers.onBody = [](std::string_view) {};
    handlers.onEnd = [call](net::HttpCallEnd) { call->reset(); };
    *call = client_->start(std::move(spec), std::move(handlers));
}

} // namespace camphorshunt::load
