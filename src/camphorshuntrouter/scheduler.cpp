#include "scheduler.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include <boost/asio/post.hpp>

#include "clock.h"

namespace camphorshunt::router {

namespace {

using namespace std::chrono_literals;

constexpr auto beatInterval = Duration(120ms);
/** Period while requests wait, in which engines read on; otherwise that of beats. */
constexpr auto busyTick = 5ms;
constexpr auto idleTick = 40ms;
/** Reports that no request waits for are sent together. */
constexpr auto flushInterval = Duration(4ms);
/** A tick that comes this late means that this process itself stood still. */
constexpr auto longestTick = Duration(300ms);
/** Questions to peers for what they know better. */
constexpr auto askInterval = Duration(150ms);
constexpr auto staleDirectory = Duration(700ms);
const auto readerDuty = idOf<ServiceId>("store reader");

template <typename Item> auto append(std::vector<Item>& to, std::vector<Item>& from) -> void
{
    std::ranges::move(from, std::back_inserter(to));
}

} // namespace

Scheduler::Scheduler(boost::asio::io_context& context, const Settings& settings, const Rings& rings,
    RouterLog& log, RouterMetrics& metrics, std::atomic<bool>& ready)
    : context_(context)
    , settings_(settings)
    , rings_(rings)
    , log_(log)
    , metrics_(metrics)
    , ready_(ready)
    , timer_(context)
    , fleet_(log)
    , pacer_(settings.listen.text())
{
}

auto Scheduler::create(boost::asio::io_context& context, const Settings& settings, const Rings& rings,
    RouterLog& log, RouterMetrics& metrics, std::atomic<bool>& ready) -> Result<std::unique_ptr<Scheduler>>
{
    auto scheduler = std::unique_ptr<Scheduler>(new Scheduler(context, settings, rings, log, metrics, ready));
    const auto opened = scheduler->open();
    if (!opened)
        return opened.error();
    return Result<std::unique_ptr<Scheduler>>(std::move(scheduler));
}

auto Scheduler::open() -> Result<void>
{
    auto handlers = PeerMesh::Handlers {
        .onConnected = [this](RouterId router, const PeerHello& hello) { connected(router, hello); },
        .onDisconnected = [this](RouterId router, std::string_view reason) { disconnected(router, reason); },
        .onFrame = [this](RouterId router, PeerFrame frame) { frameArrived(router, std::move(frame)); },
    };
    const auto self = PeerHello { settings_.listen.text(), settings_.run, settings_.processorShare };
    auto mesh = PeerMesh::listen(context_, settings_.listen, self, std::move(handlers));
    if (!mesh)
        return mesh.error();
    mesh_ = std::move(mesh.value());
    placement_ = std::make_unique<PlacementDuty>(mesh_->self(), settings_.placing);
    routersChanged(steadyNow());
    boost::asio::post(context_, [this] {
        know(settings_.seeds);
        tick();
    });
    return boost::outcome_v2::success();
}

auto Scheduler::know(std::span<const Endpoint> seeds) -> void
{
    for (const auto& seed : seeds)
        mesh_->know(seed.text());
}

auto Scheduler::startDrain() -> void
{
    draining_ = true;
    ready_ = false;
    routersChanged(steadyNow());
    sendBeat();
    settle();
}

auto Scheduler::armTick() -> void
{
    ticksOften_ = placement_->waiting() > 0 || !unsent_.empty();
    timer_.expires_after(ticksOften_ ? std::chrono::milliseconds(busyTick) : idleTick);
    timer_.async_wait([this](const boost::system::error_code& error) {
        if (!error)
            tick();
    });
}

auto Scheduler::tick() -> void
{
    const auto now = steadyNow();
    if (lastTick_ != Time {} && now - lastTick_ > longestTick) {
        log_.write(LogLevel::Warning, "stood-still",
            { { "ms", std::to_string(inMilliseconds(now - lastTick_).count()) } });
        peers_.allHeard(now);
    }
    lastTick_ = now;
    if (now >= nextBeat_)
        sendBeat();
    checkLiveness(now);
    if (fleet_.settle(now))
        fleetChanged(now);
    callStore(now);
    settle();
    armTick();
}

auto Scheduler::beat() const -> PeerBeat
{
    return { fleet_.version(), fleet_.directoryEnd().value_or(0), pacer_.isReachable(), draining_ };
}

auto Scheduler::sendBeat() -> void
{
    nextBeat_ = steadyNow() + beatInterval;
    auto frame = PeerFrame {};
    frame.beat = beat();
    mesh_->broadcast(frame);
    metrics_.setWaiting(placement_->waiting());
}

auto Scheduler::callStore(Time now) -> void
{
    const auto known = StorePacer::Known { fleet_.directoryEnd(), fleet_.table() != nullptr, isReader(),
        peers_.size() > 0 };
    for (auto& call : pacer_.due(now, known))
        rings_.toStore.push(std::move(call));
}

auto Scheduler::liveRouters() const -> std::vector<LiveRouter>
{
    auto live = peers_.live();
    if (!draining_ || live.empty())
        live.push_back({ mesh_->self(), settings_.processorShare });
    return live;
}

auto Scheduler::routersChanged(Time now) -> void
{
    const auto live = liveRouters();
    placement_->setRouters(now, live, peers_.known(now) + 1);
    metrics_.setRouters(live.size());

    auto readers = std::vector<LiveRouter> {};
    std::ranges::copy_if(live, std::back_inserter(readers), [this](const LiveRouter& candidate) {
        return candidate.router == mesh_->self() ? pacer_.isReachable()
                                                 : peers_.reachesStore(candidate.router);
    });
    const auto reader = readers.empty() ? mesh_->self() : placerOf(readerDuty, readers);
    if (reader != reader_) {
        reader_ = reader;
        log_.write(LogLevel::Info, "store-reader",
            { { "router", std::to_string(reader.value) }, { "self", isReader() ? "true" : "false" },
                { "live", std::to_string(live.size()) } });
    }
    fleetChanged(now);
}

auto Scheduler::connected(RouterId router, const PeerHello& hello) -> void
{
    const auto now = steadyNow();
    peers_.connected(now, router, hello);
    log_.write(LogLevel::Info, "peer-connected",
        { { "peer", hello.endpoint }, { "run", std::to_string(hello.run) },
            { "peers", std::to_string(peers_.size()) } });
    auto frame = PeerFrame {};
    frame.members = mesh_->members();
    frame.beat = beat();
    mesh_->send(router, frame);
    routersChanged(now);
    settle();
}

auto Scheduler::disconnected(RouterId router, std::string_view reason) -> void
{
    const auto now = steadyNow();
    log_.write(LogLevel::Warning, "peer-lost",
        { { "router", std::to_string(router.value) }, { "reason", std::string(reason) } });
    peers_.lost(router);
    unsent_.erase(router);
    placement_->forgetRouter(now, router);
    routersChanged(now);
    settle();
}

auto Scheduler::checkLiveness(Time now) -> void
{
    const auto change = peers_.check(now);
    for (const auto& [router, silence] : change.silent) {
        log_.write(LogLevel::Warning, "peer-silent",
            { { "router", std::to_string(router.value) },
                { "ms", std::to_string(inMilliseconds(silence).count()) } });
    }
    if (change.forgotten || !change.silent.empty())
        routersChanged(now);
}

auto Scheduler::frameArrived(RouterId router, PeerFrame frame) -> void
{
    const auto now = steadyNow();
    const auto changed = peers_.heard(now, router, frame.beat);
    for (const auto& member : frame.members)
        mesh_->know(member);
    if (changed)
        routersChanged(now);
    if (frame.configuration)
        takeConfiguration(std::move(*frame.configuration), "peer");
    if (frame.directory)
        takePage(now, *frame.directory, router);
    if (frame.beat)
        compareBeat(now, router, *frame.beat);
    answerPeer(router, frame);
    if (!frame.places.empty() || !frame.reports.empty() || !frame.verdicts.empty())
        placement_->fromPeer(now, router, frame);
    settle();
}

auto Scheduler::answerPeer(RouterId router, const PeerFrame& frame) -> void
{
    if (!frame.wantsConfiguration && !frame.wantsDirectory)
        return;
    auto answer = PeerFrame {};
    if (frame.wantsConfiguration && fleet_.table())
        answer.configuration = fleet_.configuration();
    if (frame.wantsDirectory && fleet_.directoryEnd())
        answer.directory = fleet_.wholeDirectory();
    mesh_->send(router, answer);
}

auto Scheduler::compareBeat(Time now, RouterId router, const PeerBeat& beat) -> void
{
    const auto upToDate = beat.configurationVersion <= fleet_.version();
    if (router == reader_ && beat.storeReachable && upToDate)
        pacer_.configurationNews(now);
    if (now < nextAsk_)
        return;
    auto question = PeerFrame {};
    question.wantsConfiguration = !upToDate;
    question.wantsDirectory = beat.directoryEnd > fleet_.directoryEnd().value_or(0)
        && now - pacer_.directoryNewsAt() > staleDirectory;
    if (!question.wantsConfiguration && !question.wantsDirectory)
        return;
    nextAsk_ = now + askInterval;
    mesh_->send(router, question);
}

auto Scheduler::take(RelayToScheduler message) -> void
{
    std::visit([this](auto& item) { handle(std::move(item)); }, message);
    settle();
}

auto Scheduler::take(StoreToScheduler message) -> void
{
    std::visit([this](auto& item) { handle(std::move(item)); }, message);
    settle();
}

auto Scheduler::handle(RequestPlacement request) -> void
{
    placement_->ask(steadyNow(), std::move(request.place));
}

auto Scheduler::handle(const PeerReport& report) -> void { placement_->report(steadyNow(), report); }

auto Scheduler::handle(DirectoryRead read) -> void
{
    const auto now = steadyNow();
    const auto wasReachable = pacer_.isReachable();
    pacer_.directoryRead(now, read.page);
    metrics_.storeCall(static_cast<bool>(read.page));
    noteStore(wasReachable);
    if (!read.page)
        return;
    takePage(now, read.page.value(), std::nullopt);
    if (!isReader())
        return;
    auto frame = PeerFrame {};
    frame.directory = std::move(read.page.value());
    mesh_->broadcast(frame);
}

auto Scheduler::handle(ConfigurationRead read) -> void
{
    const auto wasReachable = pacer_.isReachable();
    pacer_.configurationRead(steadyNow(), read.content);
    metrics_.storeCall(static_cast<bool>(read.content));
    noteStore(wasReachable);
    if (read.content && read.content.value().configuration)
        takeConfiguration(std::move(*read.content.value().configuration), "store");
}

auto Scheduler::handle(const FleetJoined& joined) -> void
{
    pacer_.fleetJoined(steadyNow(), static_cast<bool>(joined.endpoints));
    metrics_.storeCall(static_cast<bool>(joined.endpoints));
    if (!joined.endpoints)
        return;
    for (const auto& endpoint : joined.endpoints.value())
        mesh_->know(endpoint);
}

auto Scheduler::noteStore(bool wasReachable) -> void
{
    if (wasReachable == pacer_.isReachable())
        return;
    log_.write(pacer_.isReachable() ? LogLevel::Info : LogLevel::Warning,
        pacer_.isReachable() ? "store-regained" : "store-lost",
        { { "directory-end", std::to_string(fleet_.directoryEnd().value_or(0)) },
            { "configuration", std::to_string(fleet_.version()) } });
    sendBeat();
    routersChanged(steadyNow());
}

auto Scheduler::takeConfiguration(std::string json, std::string_view source) -> void
{
    if (!fleet_.takeConfiguration(std::move(json), source))
        return;
    metrics_.setConfiguration(fleet_.version());
    if (isReader()) {
        auto frame = PeerFrame {};
        frame.configuration = fleet_.configuration();
        mesh_->broadcast(frame);
    }
    fleetChanged(steadyNow());
}

auto Scheduler::takePage(Time now, const DirectoryPage& page, std::optional<RouterId> from) -> void
{
    const auto result = fleet_.takeDirectory(now, page);
    if (result == FleetState::PageResult::Gap) {
        if (from && now >= nextAsk_) {
            nextAsk_ = now + askInterval;
            auto question = PeerFrame {};
            question.wantsDirectory = true;
            mesh_->send(*from, question);
        }
        return;
    }
    pacer_.directoryNews(now);
    if (result == FleetState::PageResult::Changed)
        fleetChanged(now);
}

auto Scheduler::fleetChanged(Time now) -> void
{
    if (!fleet_.table())
        return;
    const auto upstreams = fleet_.upstreams();
    placement_->setFleet(now, *fleet_.table(), *upstreams);
    const auto routers = liveRouters().size();
    rings_.toRelay.push(FleetChanged { fleet_.table(), upstreams, routers });
    if (fleet_.directoryEnd() && !draining_ && !ready_.exchange(true))
        log_.write(LogLevel::Info, "ready", { { "configuration", std::to_string(fleet_.version()) } });
}

/** Places what can be placed, and sends on what came of it. */
auto Scheduler::settle() -> void
{
    const auto now = steadyNow();
    placement_->pump(now);
    auto outputs = placement_->takeOutputs();
    for (auto& verdict : outputs.verdicts)
        rings_.toRelay.push(PlacementDecided { verdict });
    for (auto& [router, frame] : outputs.frames) {
        auto& unsent = unsent_[router];
        append(unsent.places, frame.places);
        append(unsent.verdicts, frame.verdicts);
        append(unsent.reports, frame.reports);
    }
    if (outputs.urgent || now >= nextFlush_)
        flushFrames();
    if (!ticksOften_ && (placement_->waiting() > 0 || !unsent_.empty()))
        armTick();
}

auto Scheduler::flushFrames() -> void
{
    nextFlush_ = steadyNow() + flushInterval;
    for (const auto& [router, frame] : std::exchange(unsent_, {}))
        mesh_->send(router, frame);
}

} // namespace camphorshunt::router
