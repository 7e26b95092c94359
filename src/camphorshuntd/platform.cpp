#include "platform.h"

#include <algorithm>

#include "bufferedcall.h"
#include "platformjson.h"

namespace camphorshunt {

namespace {

constexpr auto idleConnections = std::size_t { 8 };
constexpr auto idleTimeout = std::chrono::milliseconds(10000);
constexpr auto vmsInterval = std::chrono::milliseconds(250);
/** How long the log may delay its answer to a read that finds no record (long polling). */
constexpr auto readWait = std::chrono::milliseconds(1000);
constexpr auto maxReadRecords = 500;
constexpr auto appendLimits = BufferedCallLimits { .firstByte = std::chrono::milliseconds(2000) };
constexpr auto readLimits = BufferedCallLimits { .firstByte = 2 * readWait,
    .total = std::chrono::milliseconds(60000),
    .bodyBytes = std::size_t { 64 } * 1024 * 1024 };
constexpr auto minBackoff = std::chrono::milliseconds(50);
constexpr auto maxBackoffDoublings = 5U;

auto appendOutcome(const BufferedAnswer& answer) -> AppendOutcome
{
    if (answer.end == net::HttpCallEnd::NotSent)
        return AppendOutcome::Refused;
    if (answer.end == net::HttpCallEnd::Complete && (answer.status == 429 || answer.status == 503))
        return AppendOutcome::Refused;
    return AppendOutcome::Unknown;
}

/** Offset of the next read. */
auto nextOffset(Offset from, const LogRead& read) -> Offset
{
    if (!read.records.empty())
        return Offset { read.records.back().offset.value + 1 };
    return std::max(from, read.first);
}

} // namespace

Platform::Platform(boost::asio::io_context& context, const Settings& settings, Ring<Event>& toScheduler,
    Ring<SchedulerToPlatform>& fromScheduler)
    : context_(context)
    , settings_(settings)
    , toScheduler_(toScheduler)
    , client_(net::HttpClient::create(context, idleConnections, idleTimeout))
    , random_(settings.seed)
    , vmsTimer_(context)
{
    fromScheduler.onItem([this](SchedulerToPlatform message) {
        std::visit([this](const auto& order) { handle(order); }, message);
    });
}

auto Platform::start() -> void { pollVms(); }

auto Platform::handle(const AppendLog& order) -> void
{
    ++appends_;
    auto request = net::HttpRequest { "POST", "/streams/" + order.stream, {}, order.body };
    request.headers.push_back({ "Content-Type", "application/json" });
    callBuffered(*client_, settings_.log, std::move(request), appendLimits,
        [this, append = order.append](const BufferedAnswer& answer) {
            const auto offset = answer.ok() ? parseAppendAnswer(answer.body) : std::nullopt;
            const auto outcome = offset ? AppendOutcome::Landed : appendOutcome(answer);
            toScheduler_.push(AppendEnded { append, outcome, offset.value_or(Offset {}) });
        });
}

auto Platform::handle(const TailLog& order) -> void
{
    auto& tail = tails_[order.stream];
    if (tail.call)
        tail.call->cancel();
    tail.from = order.from;
    tail.generation = ++lastGeneration_;
    tail.timer = std::make_unique<boost::asio::steady_timer>(context_);
    read(order.stream);
}

auto Platform::read(const std::string& stream) -> void
{
    auto& tail = tails_.at(stream);
    const auto target = "/streams/" + stream + "?from=" + std::to_string(tail.from.value)
        + "&max=" + std::to_string(maxReadRecords) + "&waitMs=" + std::to_string(readWait.count());
    tail.call = callBuffered(*client_, settings_.log, { "GET", target, {}, {} }, readLimits,
        [this, stream, generation = tail.generation](
            const BufferedAnswer& answer) { readEnded(stream, generation, answer.ok(), answer.body); });
}

auto Platform::readEnded(
    const std::string& stream, std::uint64_t generation, bool ok, const std::string& body) -> void
{
    auto& tail = tails_.at(stream);
    if (tail.generation != generation)
        return;
    tail.call = nullptr;
    auto read = ok ? parseLogRead(stream, body) : std::nullopt;
    if (!read) {
        toScheduler_.push(LogUnavailable { stream });
        scheduleRetry(stream, tail);
        return;
    }
    tail.failures = 0;
    tail.from = nextOffset(tail.from, *read);
    toScheduler_.push(std::move(*read));
    this->read(stream);
}

/** Exponential backoff; half of the delay is random, so that the retries of several daemons spread out. */
auto Platform::scheduleRetry(const std::string& stream, Tail& tail) -> void
{
    const auto step = std::min(tail.failures++, maxBackoffDoublings);
    const auto maxDelay = std::chrono::duration_cast<std::chrono::microseconds>(minBackoff * (1U << step));
    auto spread = std::uniform_int_distribution<std::int64_t>(maxDelay.count() / 2, maxDelay.count());
    tail.timer->expires_after(std::chrono::microseconds(spread(random_)));
    tail.timer->async_wait(
        [this, stream, generation = tail.generation](const boost::system::error_code& code) {
            if (!code && tails_.at(stream).generation == generation)
                read(stream);
        });
}

auto Platform::pollVms() -> void
{
    callBuffered(
        *client_, settings_.vms, { "GET", "/vms", {}, {} }, {}, [this](const BufferedAnswer& answer) {
            auto listed = answer.ok() ? parseVmList(answer.body) : std::nullopt;
            if (listed)
                toScheduler_.push(std::move(*listed));
            else
                toScheduler_.push(VmListUnavailable {});
            vmsTimer_.expires_after(vmsInterval);
            vmsTimer_.async_wait([this](const boost::system::error_code& code) {
                if (!code)
                    pollVms();
            });
        });
}

} // namespace camphorshunt
