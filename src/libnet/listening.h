#pragma once

#include <string_view>

#include <boost/asio/ip/tcp.hpp>

#include "camphorshunt/endpoint.h"
#include "camphorshunt/result.h"

namespace camphorshunt::net {

/** The error names `field` and the end point. */
auto tcpEndpointOf(const Endpoint& endpoint, std::string_view field)
    -> Result<boost::asio::ip::tcp::endpoint>;

/** Opens the acceptor, binds it and listens; without an error it does. */
auto openAcceptor(boost::asio::ip::tcp::acceptor& acceptor, const boost::asio::ip::tcp::endpoint& local)
    -> boost::system::error_code;

/** The same for an end point as settings give it; the error names `field` and the end point. */
auto listenOn(boost::asio::ip::tcp::acceptor& acceptor, const Endpoint& endpoint, std::string_view field)
    -> Result<void>;

} // namespace camphorshunt::net
