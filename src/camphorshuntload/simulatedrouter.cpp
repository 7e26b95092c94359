#include "simulatedrouter.h"

#include <algorithm>
#include <utility>

namespace camphorshunt::load {

using namespace router;

namespace {

constexpr auto dialCheckInterval = Duration(std::chrono::milliseconds(50));
/** Bytes before each frame that tell its length. */
constexpr auto frameHeaderSize = std::size_t { 4 };

} // namespace

auto SimulatedRouter::Work::operator-(const Work& earlier) const -> Work
{
    return { framesSent - earlier.framesSent, framesReceived - earlier.framesReceived,
        bytesSent - earlier.bytesSent, bytesReceived - earlier.bytesReceived, accepted - earlier.accepted,
        dials - earlier.dials, grants - earlier.grants, processor - earlier.processor };
}

SimulatedRouter::SimulatedRouter(World& world, PeerHello self, std::size_t failureDomain)
    : world_(world)
    , self_(std::move(self))
    , host_(world.network.addHost(*this, failureDomain))
{
    world_.hosts[id()] = host_;
    world_.routers.push_back(id());
}

template <typename Step> auto SimulatedRouter::run(Step step) -> void
{
    const auto begin = std::chrono::steady_clock::now();
    const auto now = world_.events.now();
    step(now);
    control_->placeWaiting(now);
    control_->sendOutputs(now);
    if (control_->tickPeriod() < tickPeriod_)
        armTick();
    work_.processor += std::chrono::steady_clock::now() - begin;
}

auto SimulatedRouter::makeControl() -> void
{
    auto handlers = FleetControl::Handlers {
        .send = [this](RouterId router, const PeerFrame& frame) { sendFrame(router, frame); },
        .callStore =
            [this](SchedulerToStore call) {
                world_.store.call(
                    std::move(call), [this, life = self_.incarnation](StoreToScheduler message) {
                        if (life != self_.incarnation || !control_)
                            return;
                        world_.network.later(host_, {}, [this, message = std::move(message)] {
                            run([&](Time now) { control_->handleMessage(now, message); });
                        });
                    });
            },
        .tellRelay =
            [this](const SchedulerToRelay& message) {
                const auto* const decided = std::get_if<PlacementDecided>(&message);
                if (!decided)
                    return;
                if (decided->decision.inputs.placer == id() && decided->decision.upstream)
                    ++work_.grants;
                world_.onDecision(host_, decided->decision);
            },
        .queryEngine = [](const PlacementCoordinator::EngineQuery&) {},
    };
    control_ = std::make_unique<FleetControl>(
        FleetControl::Settings { self_, {} }, std::move(handlers), world_.log, world_.metrics, *state_);
}

auto SimulatedRouter::start(const std::vector<std::string>& seeds) -> void
{
    ++self_.incarnation;
    world_.network.start(host_);
    state_ = std::make_unique<SharedState>();
    makeControl();
    control_->start(world_.events.now());
    for (const auto& seed : seeds)
        control_->plan().addPeer({ seed });
    armTick();
    dialDue();
}

auto SimulatedRouter::stop(bool powerOff) -> void
{
    world_.network.stop(host_, powerOff);
    control_.reset();
    links_.clear();
    dialling_.clear();
}

auto SimulatedRouter::armTick() -> void
{
    tickPeriod_ = control_->tickPeriod();
    world_.network.later(host_, tickPeriod_, [this, number = ++tickNumber_] {
        if (number != tickNumber_)
            return;
        run([this](Time now) {
            control_->checkPause(now);
            control_->tick(now);
        });
        armTick();
    });
}

auto SimulatedRouter::handle(RelayToScheduler message) -> void
{
    run([&](Time now) { control_->handleMessage(now, std::move(message)); });
}

auto SimulatedRouter::dialDue() -> void
{
    const auto due = control_->plan().takeDue(world_.events.now());
    for (const auto router : due.expired) {
        if (const auto dial = dialling_.extract(router); !dial.empty())
            world_.network.close(dial.mapped(), host_);
    }
    for (const auto router : due.dials) {
        ++work_.dials;
        dialling_[router] = world_.network.dial(host_, world_.hosts.at(router));
    }
    for (const auto router : due.surplus) {
        world_.network.close(links_.extract(router).mapped(), host_);
        run([&](Time now) { control_->disconnected(now, router, "neither router is a hub"); });
    }
    world_.network.later(host_, dialCheckInterval, [this] { dialDue(); });
}

auto SimulatedRouter::encoded(const PeerFrame& frame) -> SimulatedNetwork::Bytes
{
    auto bytes = encodePeerFrame(frame);
    ++work_.framesSent;
    work_.bytesSent += bytes.size() + frameHeaderSize;
    return bytes;
}

auto SimulatedRouter::sendFrame(RouterId router, const PeerFrame& frame) -> void
{
    const auto link = links_.find(router);
    if (link == links_.end())
        return;
    const auto isGrant = [](const PeerPlacementDecision& decision) { return decision.upstream.has_value(); };
    work_.grants += static_cast<std::uint64_t>(std::ranges::count_if(frame.placementDecisions, isGrant));
    world_.network.send(link->second, host_, encoded(frame));
}

auto SimulatedRouter::sendHello(const SimulatedNetwork::ConnectionPointer& connection) -> void
{
    auto frame = PeerFrame {};
    frame.hello = self_;
    world_.network.send(connection, host_, encoded(frame));
}

auto SimulatedRouter::accepted(const SimulatedNetwork::ConnectionPointer& connection) -> void
{
    ++work_.accepted;
    sendHello(connection);
}

auto SimulatedRouter::opened(const SimulatedNetwork::ConnectionPointer& connection) -> void
{
    sendHello(connection);
}

auto SimulatedRouter::routerAt(const SimulatedNetwork::ConnectionPointer& connection) const -> RouterId
{
    return world_.routers[connection->other(host_)];
}

auto SimulatedRouter::received(
    const SimulatedNetwork::ConnectionPointer& connection, const SimulatedNetwork::Bytes& bytes) -> void
{
    ++work_.framesReceived;
    work_.bytesReceived += bytes.size() + frameHeaderSize;
    run([&](Time now) {
        auto frame = decodePeerFrame(bytes).value();
        if (!std::exchange(connection->helloReceived[connection->endOf(host_)], true))
            helloReceived(connection, *frame.hello);
        else
            control_->frameArrived(now, routerAt(connection), std::move(frame));
    });
}

auto SimulatedRouter::helloReceived(
    const SimulatedNetwork::ConnectionPointer& connection, const PeerHello& hello) -> void
{
    const auto now = world_.events.now();
    const auto router = idOf<RouterId>(hello.endpoint);
    const auto dialled = connection->endOf(host_) == 0;
    const auto admission = control_->plan().admit(now, hello, dialled);
    if (dialled)
        dialling_.erase(router);
    if (admission == MeshPlan::Admission::Rejected) {
        world_.network.close(connection, host_);
        return;
    }
    if (admission == MeshPlan::Admission::Replaces) {
        world_.network.close(links_.extract(router).mapped(), host_);
        control_->disconnected(now, router, "replaced");
    }
    links_[router] = connection;
    control_->connected(now, router, hello);
}

auto SimulatedRouter::ended(
    const SimulatedNetwork::ConnectionPointer& connection, std::string_view reason, bool refused) -> void
{
    const auto now = world_.events.now();
    const auto router = routerAt(connection);
    if (const auto link = links_.find(router); link != links_.end() && link->second == connection) {
        links_.erase(link);
        control_->plan().disconnected(now, router);
        run([&](Time time) { control_->disconnected(time, router, reason); });
    } else if (const auto dial = dialling_.find(router);
               dial != dialling_.end() && dial->second == connection) {
        dialling_.erase(dial);
        control_->plan().dialFailed(now, router);
        if (refused)
            control_->refused(now, router);
    }
}

} // namespace camphorshunt::load
