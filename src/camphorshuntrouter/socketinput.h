#pragma once

#include <boost/asio/ip/tcp.hpp>

namespace camphorshunt::router {

/** What the kernel knows of a connection's incoming side, whether or not its bytes have been read yet. */
struct SocketInput {
    /** The peer has closed its side, or the connection has failed: no more bytes arrive. */
    bool ended = false;
    /** The connection has failed. The next write gets the error, or the next read behind those bytes. */
    bool failed = false;
};

/** Does not take the connection's error from the call that comes next. */
auto inputOf(boost::asio::ip::tcp::socket& socket) -> SocketInput;

} // namespace camphorshunt::router
