#include "listening.h"

namespace camphorshunt::net {

using boost::asio::ip::tcp;

auto tcpEndpointOf(const Endpoint& endpoint, std::string_view field) -> Result<tcp::endpoint>
{
    auto code = boost::system::error_code {};
    const auto address = boost::asio::ip::make_address(endpoint.address, code);
    if (code)
        return failure(
            Error::Code::Invalid, std::string(field), endpoint.text() + " is not an IP address and a port");
    return tcp::endpoint { address, endpoint.port };
}

auto openAcceptor(tcp::acceptor& acceptor, const tcp::endpoint& local) -> boost::system::error_code
{
    auto code = boost::system::error_code {};
    acceptor.open(local.protocol(), code);
    if (!code)
        acceptor.set_option(tcp::acceptor::reuse_address(true), code);
    if (!code)
        acceptor.bind(local, code);
    if (!code)
        acceptor.listen(tcp::acceptor::max_listen_connections, code);
    return code;
}

auto listenOn(tcp::acceptor& acceptor, const Endpoint& endpoint, std::string_view field) -> Result<void>
{
    const auto local = tcpEndpointOf(endpoint, field);
    if (!local)
        return local.error();
    if (const auto code = openAcceptor(acceptor, local.value()))
        return failure(Error::Code::Io, std::string(field), endpoint.text() + ": " + code.message());
    return boost::outcome_v2::success();
}

} // namespace camphorshunt::net
