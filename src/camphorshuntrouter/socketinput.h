#pragma once

#include <boost/asio/ip/tcp.hpp>

namespace camphorshunt::router {

/** What the kernel knows of the peer's side of a connection, whether or not its bytes have been read yet. */
struct SocketInput {
    /** No bytes follow on those that have arrived. */
    bool ended = false;
    /** The connection has failed. The next read beyond the bytes that have arrived tells why, or a write. */
    bool failed = false;
};

/** Leaves the connection's error to the call that comes next. */
auto inputOf(boost::asio::ip::tcp::socket& socket) -> SocketInput;

} // namespace camphorshunt::router
