#include "drivenrelay.h"

#include <chrono>
#include <thread>

using namespace camphorshunt;
using namespace std::chrono_literals;

TEST_CASE("Waiting connections are accepted together, not one in each turn of a busy event loop")
{
    auto driven = test::DrivenRelay {};
    driven.connect(100);
    for (auto turn = 0; turn < 8; ++turn)
        driven.context.poll_one();
    CHECK(driven.relay->callers() == 100);
}

TEST_CASE("Connections beyond the limit of callers are closed, and later ones accepted again")
{
    auto driven = test::DrivenRelay {};
    driven.connect(100);
    driven.context.poll();
    CHECK(driven.relay->callers() == 100);
    driven.connect(100);
    driven.context.poll();
    CHECK(driven.relay->callers() == 150);
    driven.clients.clear();
    driven.context.poll();
    CHECK(driven.relay->callers() == 0);
    driven.connect(20);
    driven.context.poll();
    CHECK(driven.relay->callers() == 20);
}

TEST_CASE(
    "An overloaded relay closes most new connections at once, and diverts callers until it keeps up again")
{
    auto driven = test::DrivenRelay {};
    driven.state.ready = true;
    for (auto tick = 0; tick < 5; ++tick) {
        std::this_thread::sleep_for(100ms);
        driven.context.poll();
    }
    CHECK(!driven.state.acceptsCallers());
    CHECK(!driven.relay->keepsCallersAlive());
    driven.connect(60);
    std::this_thread::sleep_for(100ms);
    driven.context.poll();
    CHECK(driven.relay->callers() == 4);
    const auto end = std::chrono::steady_clock::now() + 15s;
    while (!driven.state.acceptsCallers() && std::chrono::steady_clock::now() < end)
        driven.context.run_for(50ms);
    CHECK(driven.state.acceptsCallers());
}

// A busy organisation's callers all came to one small router, and each connection took several system calls
// to close.
TEST_CASE("An overloaded relay closes hundreds of new connections in one turn of its event loop")
{
    auto driven = test::DrivenRelay {};
    driven.state.ready = true;
    for (auto tick = 0; tick < 5; ++tick) {
        std::this_thread::sleep_for(100ms);
        driven.context.poll();
    }
    driven.connect(500);
    std::this_thread::sleep_for(100ms);
    driven.context.poll();
    CHECK(driven.relay->callers() == 4);
    auto closed = 0;
    for (auto& client : driven.clients) {
        client.non_blocking(true);
        auto byte = char {};
        auto error = boost::system::error_code {};
        client.read_some(boost::asio::buffer(&byte, 1), error);
        closed += error == boost::asio::error::would_block ? 0 : 1;
    }
    CHECK(closed == 496);
}

TEST_CASE("A relay that cannot even close its new connections in time refuses them for a moment")
{
    auto driven = test::DrivenRelay {};
    driven.state.ready = true;
    for (auto tick = 0; tick < 5; ++tick) {
        std::this_thread::sleep_for(100ms);
        driven.context.poll();
    }
    driven.connect(700);
    std::this_thread::sleep_for(100ms);
    driven.context.poll();
    auto refused = 0;
    for (auto index = 0; index < 20; ++index) {
        auto socket = test::DrivenRelay::Tcp::socket(driven.clientContext);
        auto error = boost::system::error_code {};
        socket.connect({ driven.loopback, driven.port }, error);
        refused += error == boost::asio::error::connection_refused ? 1 : 0;
    }
    CHECK(refused == 20);
    const auto callers = driven.relay->callers();
    driven.context.run_for(300ms);
    driven.connect(10);
    driven.context.run_for(100ms);
    CHECK(driven.relay->callers() == callers + 10);
}
