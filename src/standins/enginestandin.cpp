#include "enginestandin.h"

#include <algorithm>

#include "jsonfields.h"

namespace camphorshunt::standins {

namespace json = boost::json;
using Clock = std::chrono::steady_clock;

namespace {

constexpr auto defaultOutputTokens = std::uint64_t { 8 };
constexpr auto bytesPerToken = std::uint64_t { 4 };
constexpr auto promptTokensPerUnit = 1000.0;
/** Leading bytes of the request body that identify a cached prefix. */
constexpr auto prefixBytes = std::size_t { 64 };
/** Fraction of the prefill time that remains when the prefix is cached. */
constexpr auto cachedPromptFactor = 0.1;

auto outputTokensOf(const Request& request) -> std::uint64_t
{
    const auto hint = request.header("Camphorshunt-Output-Tokens");
    if (!hint.empty())
        return numberIn(hint, defaultOutputTokens);
    const auto body = parseObject(request.body);
    return body ? field(*body, "outputTokens", defaultOutputTokens) : defaultOutputTokens;
}

auto promptTokensOf(const Request& request) -> std::uint64_t
{
    return numberIn(request.header("Camphorshunt-Prompt-Tokens"), request.body.size() / bytesPerToken);
}

} // namespace

auto EngineStandIn::kindOf(const Request& request) const -> RequestKind
{
    return pathOf(request).starts_with("/generate/") ? RequestKind::Work : RequestKind::Load;
}

auto EngineStandIn::serve(const Request& request, const Exchange& exchange, const Fault& fault) -> void
{
    const auto path = pathOf(request);
    if (path == "/load")
        reportLoad(*exchange);
    else if (path == "/cancel")
        cancel(request, exchange);
    else if (!path.starts_with("/generate/"))
        respondError(*exchange, statusNotFound, "no such path");
    else if (isFenced(request))
        respondError(*exchange, statusConflict, "older fencing token");
    else if (!request.header("Camphorshunt-Resume-Of").empty())
        resume(request, exchange, fault);
    else
        generate(request, exchange, fault);
}

auto EngineStandIn::generate(const Request& request, const Exchange& exchange, const Fault& fault) -> void
{
    const auto stream = std::make_shared<EngineStream>();
    stream->number = ++streamCount_;
    stream->attempt = std::string(request.header(attemptHeader));
    stream->tag = std::string(request.header("Camphorshunt-Request-Tag"));
    stream->promptTokens = promptTokensOf(request);
    stream->outputTokens = outputTokensOf(request);
    stream->promptTime = promptTimeOf(request, stream->promptTokens);
    streams_[stream->attempt] = stream;
    attach(stream, request, exchange, fault);
    waiting_.push_back(stream);
    startWaiting();
}

auto EngineStandIn::resume(const Request& request, const Exchange& exchange, const Fault& fault) -> void
{
    const auto found = streams_.find(std::string(request.header("Camphorshunt-Resume-Of")));
    if (found == streams_.end()) {
        respondError(*exchange, statusNotFound, "no such stream");
        return;
    }
    const auto stream = found->second;
    streams_[std::string(request.header(attemptHeader))] = stream;
    stream->endReader(false);
    attach(stream, request, exchange, fault);
    const auto last = numberIn(request.header("Last-Event-ID"), 0);
    for (auto id = last + 1; id <= stream->produced; ++id)
        stream->send(stream->eventText(id));
    if (stream->state != EngineStream::State::Ended)
        return;
    stream->send(stream->doneText());
    stream->endReader(true);
}

auto EngineStandIn::cancel(const Request& request, const Exchange& exchange) -> void
{
    const auto body = parseObject(request.body);
    const auto found = body ? streams_.find(field(*body, "attempt", std::string())) : streams_.end();
    if (found == streams_.end()) {
        respondError(*exchange, statusNotFound, "no such stream");
        return;
    }
    const auto stream = found->second;
    endStream(stream, false);
    removeStream(stream);
    respondJson(*exchange, statusOk, json::object());
}

auto EngineStandIn::attach(
    const StreamPtr& stream, const Request& request, const Exchange& exchange, const Fault& fault) -> void
{
    stream->reader = exchange;
    stream->fault = fault;
    stream->sentEvents = 0;
    const auto number = ++stream->readerNumber;
    exchange->onDisconnect([this, stream, number] {
        if (stream->readerNumber == number)
            handleReaderLost(stream);
    });
    auto headers = echoOf(request, fault);
    headers.push_back({ "Content-Type", "text/event-stream" });
    exchange->beginStream(statusOk, std::move(headers));
}

auto EngineStandIn::handleReaderLost(const StreamPtr& stream) -> void
{
    stream->reader = nullptr;
    after(options().resumeWindow, [this, stream, number = stream->readerNumber] {
        if (stream->readerNumber != number)
            return;
        endStream(stream, false);
        removeStream(stream);
    });
}

auto EngineStandIn::startWaiting() -> void
{
    while (running_ < options().slots && !waiting_.empty()) {
        const auto stream = waiting_.front();
        waiting_.pop_front();
        ++started_;
        ++running_;
        stream->state = EngineStream::State::Running;
        stream->nextToken = Clock::now() + std::chrono::duration_cast<Clock::duration>(stream->promptTime);
        scheduleToken(stream);
    }
    recordLoad();
}

auto EngineStandIn::scheduleToken(const StreamPtr& stream) -> void
{
    // Each token is due at a fixed time, so that a late timer does not slow down the stream.
    stream->nextToken += std::chrono::duration_cast<Clock::duration>(options().tokenTime);
    after(stream->nextToken - Clock::now(), [this, stream] {
        if (stream->state == EngineStream::State::Running)
            produceToken(stream);
    });
}

auto EngineStandIn::produceToken(const StreamPtr& stream) -> void
{
    if (stream->produced < stream->outputTokens) {
        ++stream->produced;
        const auto hadReader = stream->reader != nullptr;
        stream->send(stream->eventText(stream->produced));
        if (hadReader && !stream->reader)
            handleReaderLost(stream);
    }
    if (stream->produced < stream->outputTokens) {
        scheduleToken(stream);
        return;
    }
    stream->send(stream->doneText());
    endStream(stream, true);
    after(options().resumeWindow, [this, stream] { removeStream(stream); });
}

auto EngineStandIn::endStream(const StreamPtr& stream, bool complete) -> void
{
    if (stream->state == EngineStream::State::Running)
        --running_;
    std::erase(waiting_, stream);
    stream->state = EngineStream::State::Ended;
    stream->endReader(complete);
    startWaiting();
}

auto EngineStandIn::removeStream(const StreamPtr& stream) -> void
{
    std::erase_if(streams_, [&stream](const auto& entry) { return entry.second == stream; });
}

auto EngineStandIn::isFenced(const Request& request) -> bool
{
    const auto token = request.header("Fencing-Token");
    if (!options().checkFencing || token.empty())
        return false;
    const auto number = numberIn(token, 0);
    const auto isOlder = number < maxFencingToken_;
    maxFencingToken_ = std::max(maxFencingToken_, number);
    return isOlder;
}

auto EngineStandIn::promptTimeOf(const Request& request, std::uint64_t tokens) -> Milliseconds
{
    const auto fullTime = options().promptTime * (static_cast<double>(tokens) / promptTokensPerUnit);
    if (request.body.empty() || options().cachedPrefixes == 0)
        return fullTime;
    const auto prefix = std::hash<std::string> {}(request.body.substr(0, prefixBytes));
    const auto isCached = std::erase(cachedPrefixes_, prefix) > 0;
    cachedPrefixes_.push_front(prefix);
    if (cachedPrefixes_.size() > options().cachedPrefixes)
        cachedPrefixes_.pop_back();
    return isCached ? fullTime * cachedPromptFactor : fullTime;
}

auto EngineStandIn::recordLoad() -> void
{
    const auto now = Clock::now();
    loads_.push_back({ now, running_, waiting_.size() });
    // Keeps at the front the newest load that is old enough to be reported.
    while (loads_.size() > 1 && now - loads_[1].at >= options().loadLag)
        loads_.pop_front();
}

auto EngineStandIn::reportLoad(net::HttpExchange& exchange) -> void
{
    recordLoad();
    const auto isOldEnough = Clock::now() - loads_.front().at >= options().loadLag;
    const auto shown = isOldEnough ? loads_.front() : Load {};
    respondJson(exchange, statusOk,
        json::object { { "running", shown.running }, { "waiting", shown.waiting }, { "started", started_ },
            { "slots", options().slots }, { "leaving", leaving() } });
}

} // namespace camphorshunt::standins
