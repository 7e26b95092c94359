#pragma once

#include <string_view>

#include <boost/asio/ip/tcp.hpp>

#include "camphorshunt/endpoint.h"
#include "camphorshunt/result.h"

namespace camphorshunt::net {

/** Parses the IP address of `endpoint`. The error names `field` and the endpoint. */
auto tcpEndpointOf(const Endpoint& endpoint, std::string_view field)
    -> Result<boost::asio::ip::tcp::endpoint>;

/** Opens and binds the acceptor, with address reuse, and starts listening. Returns the first error. */
auto openAcceptor(boost::asio::ip::tcp::acceptor& acceptor, const boost::asio::ip::tcp::endpoint& local)
    -> boost::system::error_code;

/** Starts listening on an endpoint from the settings. The error names `field` and the endpoint. */
auto listenOn(boost::asio::ip::tcp::acceptor& acceptor, const Endpoint& endpoint, std::string_view field)
    -> Result<void>;

} // namespace camphorshunt::net
