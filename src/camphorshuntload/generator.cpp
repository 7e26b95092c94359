#include "generator.h"

#include <algorithm>

namespace camphorshunt::load {

namespace {

/** Delay before a closed loop replaces a request that was refused or failed. */
constexpr auto retryPause = std::chrono::milliseconds(100);
constexpr auto avoidTime = std::chrono::milliseconds(2000);

} // namespace

Generator::Generator(boost::asio::io_context& context, net::HttpClient& client, const Plan& plan,
    std::size_t organisation, Measurements& measurements)
    : context_(context)
    , client_(client)
    , plan_(plan)
    , organisation_(plan.organisations[organisation])
    , index_(organisation)
    , measurements_(measurements)
    , random_(plan.seed + organisation)
    , timer_(context)
    , avoidUntil_(plan.daemons.size())
{
}

auto Generator::start() -> void
{
    const auto now = Clock::now();
    if (organisation_.to.count() > 0)
        end_ = now + organisation_.to;
    timer_.expires_at(now + organisation_.from);
    timer_.async_wait([this](const boost::system::error_code& code) {
        if (!code)
            startSending();
    });
}

auto Generator::startSending() -> void
{
    if (organisation_.rate > 0) {
        scheduleArrival();
        return;
    }
    for (auto started = std::uint64_t {}; started < organisation_.concurrency; ++started)
        send();
}

auto Generator::scheduleArrival() -> void
{
    const auto gap
        = std::chrono::duration<double>(std::exponential_distribution(organisation_.rate)(random_));
    timer_.expires_at(timer_.expiry() + std::chrono::duration_cast<Clock::duration>(gap));
    timer_.async_wait([this](const boost::system::error_code& code) {
        if (code || isOver())
            return;
        send();
        scheduleArrival();
    });
}

auto Generator::send() -> void
{
    if (isOver())
        return;
    const auto daemon = chooseDaemon();
    const auto prompt = organisation_.promptTokens.draw(random_);
    const auto output = organisation_.outputTokens.draw(random_);
    std::make_shared<LoadCall>(measurements_, plan_, index_)
        ->start(client_, plan_.daemons[daemon], prompt, output,
            [this, daemon](LoadCall::End end) { onCallEnd(daemon, end); });
}

auto Generator::scheduleRetry() -> void
{
    const auto timer = std::make_shared<boost::asio::steady_timer>(context_, retryPause);
    timer->async_wait([this, timer](const boost::system::error_code& code) {
        if (!code)
            send();
    });
}

auto Generator::onCallEnd(std::size_t daemon, LoadCall::End end) -> void
{
    if (end == LoadCall::End::Failed)
        avoidUntil_[daemon] = Clock::now() + avoidTime;
    if (organisation_.rate > 0)
        return;
    if (end == LoadCall::End::Done)
        send();
    else
        scheduleRetry();
}

auto Generator::chooseDaemon() -> std::size_t
{
    const auto now = Clock::now();
    auto shares = std::vector<double> {};
    for (const auto& entry : organisation_.entries)
        shares.push_back(avoidUntil_[entry.daemon] > now ? 0.0 : static_cast<double>(entry.share));
    if (std::ranges::all_of(shares, [](double share) { return share == 0.0; }))
        std::ranges::fill(shares, 1.0);
    const auto chosen = std::discrete_distribution<std::size_t>(shares.begin(), shares.end())(random_);
    return organisation_.entries[chosen].daemon;
}

} // namespace camphorshunt::load
