#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include "camphorshunt/endpoint.h"

#include "httpclient.h"

namespace camphorshunt::test {

/** A caller's connection that stays open for several requests, one after another. */
class KeptConnection {
public:
    explicit KeptConnection(const Endpoint& endpoint);

    /** Returns the status of the answer; 0 if the connection ended before the answer was complete. */
    auto call(const net::HttpRequest& request) -> unsigned;

private:
    boost::asio::io_context context_;
    boost::asio::ip::tcp::socket socket_;
    boost::beast::flat_buffer buffer_;
};

} // namespace camphorshunt::test
