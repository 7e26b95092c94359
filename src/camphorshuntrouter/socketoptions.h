#pragma once

#include <boost/asio/ip/tcp.hpp>

namespace camphorshunt::router {

/**
 * Sends small messages at once, and notices within about three seconds that the other end is out of reach.
 * Options that the system refuses are left as they are.
 */
auto setConnectionOptions(boost::asio::ip::tcp::socket& socket) -> void;

} // namespace camphorshunt::router
