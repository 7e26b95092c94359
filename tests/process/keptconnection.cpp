#include "keptconnection.h"

#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

namespace camphorshunt::test {

namespace http = boost::beast::http;

KeptConnection::KeptConnection(const Endpoint& endpoint)
    : socket_(context_)
{
    socket_.connect({ boost::asio::ip::make_address(endpoint.address), endpoint.port });
}

auto KeptConnection::call(const net::HttpRequest& request) -> unsigned
{
    auto message = http::request<http::string_body> {};
    message.method_string(request.method);
    message.target(request.target);
    message.version(11);
    for (const auto& header : request.headers)
        message.set(header.name, header.value);
    message.body() = request.body;
    message.prepare_payload();
    auto error = boost::beast::error_code {};
    http::write(socket_, message, error);
    auto answer = http::response<http::string_body> {};
    if (!error)
        http::read(socket_, buffer_, answer, error);
    return error ? 0 : answer.result_int();
}

} // namespace camphorshunt::test
