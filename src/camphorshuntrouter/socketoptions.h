#pragma once

#include <chrono>

#include <boost/asio/ip/tcp.hpp>

namespace camphorshunt::router {

/**
 * Disables Nagle's algorithm, so that small messages are sent immediately, and enables probes that detect an
 * unreachable peer within about three seconds. Options that the system rejects are ignored.
 */
auto setConnectionOptions(boost::asio::ip::tcp::socket& socket) -> void;

/** Sets how long sent bytes may stay unacknowledged, or the peer may take none, before the connection fails.
 */
auto setUnacknowledgedLimit(boost::asio::ip::tcp::socket& socket, std::chrono::milliseconds limit) -> void;

} // namespace camphorshunt::router
