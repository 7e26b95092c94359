#include "socketoptions.h"

#include <netinet/tcp.h>

namespace camphorshunt::router {

namespace {

/** Time for which bytes may stay unacknowledged before the connection fails. */
constexpr auto unacknowledgedLimit = std::chrono::milliseconds(2500);
/** Seconds before the first keep-alive probe of an idle connection, and between probes. */
constexpr auto probeInterval = 1;
/** Unanswered probes after which the connection fails. */
constexpr auto probes = 2;

template <int Name> using TcpOption = boost::asio::detail::socket_option::integer<IPPROTO_TCP, Name>;

} // namespace

auto setConnectionOptions(boost::asio::ip::tcp::socket& socket) -> void
{
    auto ignored = boost::system::error_code {};
    socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
    socket.set_option(boost::asio::socket_base::keep_alive(true), ignored);
    socket.set_option(TcpOption<TCP_KEEPIDLE>(probeInterval), ignored);
    socket.set_option(TcpOption<TCP_KEEPINTVL>(probeInterval), ignored);
    socket.set_option(TcpOption<TCP_KEEPCNT>(probes), ignored);
    setUnacknowledgedLimit(socket, unacknowledgedLimit);
}

auto setUnacknowledgedLimit(boost::asio::ip::tcp::socket& socket, std::chrono::milliseconds limit) -> void
{
    auto ignored = boost::system::error_code {};
    socket.set_option(TcpOption<TCP_USER_TIMEOUT>(static_cast<int>(limit.count())), ignored);
}

} // namespace camphorshunt::router
