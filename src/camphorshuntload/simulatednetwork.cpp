#include "simulatednetwork.h"

#include <utility>

namespace camphorshunt::load {

namespace {

/** Time for which sent bytes may be stalled before the connection fails, as set for real connections. */
constexpr auto userTimeout = Duration(std::chrono::milliseconds(2500));
/** Longest time until bytes are sent again after a cut. */
constexpr auto longestRetransmission = Duration(std::chrono::milliseconds(200));
/** Random part of a delay, relative to it. */
constexpr auto delayVariation = 0.2;

} // namespace

SimulatedNetwork::SimulatedNetwork(EventQueue& events, const Settings& settings)
    : events_(events)
    , settings_(settings)
    , random_(settings.seed)
{
}

auto SimulatedNetwork::addHost(Process& process, std::size_t failureDomain) -> std::size_t
{
    auto& host = hosts_.emplace_back();
    host.process = &process;
    host.failureDomain = failureDomain;
    return hosts_.size() - 1;
}

auto SimulatedNetwork::hopTime(std::size_t from, std::size_t to) -> Duration
{
    const auto isNear = hosts_[from].failureDomain == hosts_[to].failureDomain;
    auto variation = std::uniform_real_distribution<double>(1.0, 1.0 + delayVariation);
    return scaled(isNear ? settings_.hop : settings_.otherDomainHop, variation(random_));
}

auto SimulatedNetwork::retransmission() -> Duration
{
    auto part = std::uniform_real_distribution<double>(0.0, 1.0);
    return scaled(longestRetransmission, part(random_));
}

auto SimulatedNetwork::start(std::size_t host) -> void
{
    hosts_[host].state = State::Running;
    ++hosts_[host].life;
    // The VM answers bytes for connections that it does not know with a reset.
    for (const auto& connection : std::exchange(hosts_[host].forgotten, {})) {
        const auto other = 1 - connection->endOf(host);
        events_.after(retransmission(), [this, connection, other] { end(connection, other, "reset"); });
    }
}

auto SimulatedNetwork::stop(std::size_t host, bool powerOff) -> void
{
    auto& stopped = hosts_[host];
    stopped.state = powerOff ? State::Off : State::NoProcess;
    ++stopped.life;
    stopped.paused = false;
    stopped.pending.clear();
    for (const auto& connection : std::exchange(stopped.connections, {})) {
        const auto own = connection->endOf(host);
        connection->isOpen[own] = false;
        if (powerOff)
            stopped.forgotten.push_back(connection);
        else
            events_.after(hopTime(host, connection->hosts[1 - own]),
                [this, connection, own] { end(connection, 1 - own, "reset"); });
    }
}

auto SimulatedNetwork::setPaused(std::size_t host, bool paused) -> void
{
    auto& changed = hosts_[host];
    changed.paused = paused;
    if (paused)
        return;
    auto pending = std::exchange(changed.pending, {});
    const auto life = changed.life;
    for (auto& action : pending)
        runAt(host, life, std::move(action));
}

auto SimulatedNetwork::setCut(Cut cut) -> void
{
    cut_ = std::move(cut);
    for (auto host = std::size_t { 0 }; host < hosts_.size(); ++host) {
        for (const auto& connection : hosts_[host].connections) {
            const auto end = connection->endOf(host);
            if (!connection->stalled[end].empty())
                events_.after(retransmission(), [this, connection, end] { flush(connection, end); });
        }
    }
}

auto SimulatedNetwork::runAt(std::size_t host, std::uint64_t life, EventQueue::Action action) -> void
{
    auto& target = hosts_[host];
    if (target.life != life || target.state != State::Running)
        return;
    if (target.paused)
        target.pending.push_back(std::move(action));
    else
        action();
}

auto SimulatedNetwork::later(std::size_t host, Duration delay, EventQueue::Action action) -> void
{
    const auto life = hosts_[host].life;
    events_.after(delay + hosts_[host].slowness,
        [this, host, life, action = std::move(action)] { runAt(host, life, action); });
}

auto SimulatedNetwork::dial(std::size_t from, std::size_t to) -> ConnectionPointer
{
    auto connection = std::make_shared<Connection>();
    connection->hosts = { from, to };
    connection->lives[0] = hosts_[from].life;
    hosts_[from].connections.push_back(connection);
    events_.after(hopTime(from, to), [this, connection] { arriveDial(connection); });
    return connection;
}

auto SimulatedNetwork::arriveDial(const ConnectionPointer& connection) -> void
{
    const auto [from, to] = connection->hosts;
    auto& target = hosts_[to];
    // The answers of a VM that cannot be reached, and those to it, are lost; the dialling end gives up.
    if (target.state == State::Off || !reaches(from, to) || !reaches(to, from) || !connection->isOpen[0])
        return;
    const auto back = hopTime(to, from);
    if (target.state == State::NoProcess) {
        events_.after(back, [this, connection] { end(connection, 0, "refused", true); });
        return;
    }
    connection->lives[1] = target.life;
    target.connections.push_back(connection);
    // The accepting end's bytes arrive after the dialling end has learnt of the connection.
    connection->lastArrival[1] = events_.now() + back;
    events_.after(back, [this, connection, from = from] {
        runAt(from, connection->lives[0], [this, connection, from] {
            if (connection->isOpen[0])
                hosts_[from].process->opened(connection);
        });
    });
    runAt(to, target.life, [this, connection, to = to] {
        if (connection->isOpen[1])
            hosts_[to].process->accepted(connection);
    });
}

auto SimulatedNetwork::send(const ConnectionPointer& connection, std::size_t from, Bytes bytes) -> void
{
    const auto end = connection->endOf(from);
    if (!connection->isOpen[end])
        return;
    const auto to = connection->hosts[1 - end];
    auto& lastArrival = connection->lastArrival[end];
    lastArrival = std::max(lastArrival, events_.now() + hopTime(from, to) + hosts_[to].slowness);
    events_.at(lastArrival, [this, connection, end, bytes = std::move(bytes)]() mutable {
        arrive(connection, end, std::move(bytes));
    });
}

auto SimulatedNetwork::arrive(const ConnectionPointer& connection, std::size_t end, Bytes bytes) -> void
{
    const auto from = connection->hosts[end];
    const auto to = connection->hosts[1 - end];
    if (hosts_[to].state == State::Off || !reaches(from, to) || !connection->stalled[end].empty())
        stall(connection, end, std::move(bytes));
    else
        deliver(connection, end, std::move(bytes));
}

auto SimulatedNetwork::deliver(const ConnectionPointer& connection, std::size_t end, Bytes bytes) -> void
{
    const auto to = connection->hosts[1 - end];
    runAt(to, connection->lives[1 - end], [this, connection, end, to, bytes = std::move(bytes)] {
        if (connection->isOpen[1 - end])
            hosts_[to].process->received(connection, bytes);
        else
            events_.after(hopTime(to, connection->hosts[end]),
                [this, connection, end] { this->end(connection, end, "reset"); });
    });
}

auto SimulatedNetwork::stall(const ConnectionPointer& connection, std::size_t end, Bytes bytes) -> void
{
    auto& stalled = connection->stalled[end];
    stalled.push_back(std::move(bytes));
    if (stalled.size() > 1)
        return;
    const auto since = events_.now();
    connection->stalledSince[end] = since;
    events_.after(userTimeout, [this, connection, end, since] {
        if (connection->stalled[end].empty() || connection->stalledSince[end] != since)
            return;
        this->end(connection, 0, "timed out");
        this->end(connection, 1, "timed out");
    });
}

auto SimulatedNetwork::flush(const ConnectionPointer& connection, std::size_t end) -> void
{
    if (!reaches(connection->hosts[end], connection->hosts[1 - end]))
        return;
    for (auto& bytes : std::exchange(connection->stalled[end], {}))
        deliver(connection, end, std::move(bytes));
}

auto SimulatedNetwork::close(const ConnectionPointer& connection, std::size_t from) -> void
{
    const auto own = connection->endOf(from);
    if (!std::exchange(connection->isOpen[own], false))
        return;
    release(connection, own);
    const auto to = connection->hosts[1 - own];
    const auto arrival
        = std::max(connection->lastArrival[own], events_.now() + hopTime(from, to) + hosts_[to].slowness);
    events_.at(arrival, [this, connection, own, from, to] {
        if (hosts_[to].state != State::Off && reaches(from, to))
            end(connection, 1 - own, "closed by the peer");
    });
}

auto SimulatedNetwork::end(
    const ConnectionPointer& connection, std::size_t end, std::string_view reason, bool refused) -> void
{
    const auto host = connection->hosts[end];
    runAt(host, connection->lives[end], [this, connection, end, host, reason, refused] {
        if (!std::exchange(connection->isOpen[end], false))
            return;
        release(connection, end);
        hosts_[host].process->ended(connection, reason, refused);
    });
}

auto SimulatedNetwork::release(const ConnectionPointer& connection, std::size_t end) -> void
{
    std::erase(hosts_[connection->hosts[end]].connections, connection);
}

} // namespace camphorshunt::load
