#include "httpserverexchange.h"

#include <utility>

#include "httpserverconnection.h"

namespace camphorshunt::net {

HttpServerExchange::HttpServerExchange(std::shared_ptr<HttpServerConnection> connection)
    : connection_(std::move(connection))
{
}

HttpServerExchange::~HttpServerExchange()
{
    if (answering())
        connection_->abort();
}

auto HttpServerExchange::respond(std::uint16_t status, HttpHeaders headers, std::string body) -> void
{
    if (!answering() || streaming_)
        return;
    answered_ = true;
    connection_->respond(status, headers, body);
}

auto HttpServerExchange::beginStream(std::uint16_t status, HttpHeaders headers, StreamFraming framing) -> void
{
    if (!answering() || streaming_)
        return;
    streaming_ = true;
    connection_->beginStream(status, headers, framing);
}

auto HttpServerExchange::write(std::string chunk) -> void
{
    if (!answering() || !streaming_ || chunk.empty())
        return;
    unwrittenBytes_ += chunk.size();
    connection_->write(chunk);
}

auto HttpServerExchange::finish() -> void
{
    if (!answering() || !streaming_)
        return;
    answered_ = true;
    connection_->finish();
}

auto HttpServerExchange::abort() -> void
{
    if (!connection_)
        return;
    answered_ = true;
    const auto connection = std::exchange(connection_, nullptr);
    detach();
    connection->abort();
}

auto HttpServerExchange::onWritten(std::function<void(std::size_t)> callback) -> void
{
    onWritten_ = std::move(callback);
}

auto HttpServerExchange::onDisconnect(std::function<void()> callback) -> void
{
    onDisconnect_ = std::move(callback);
}

auto HttpServerExchange::notifyWritten(std::size_t bytes) -> void
{
    unwrittenBytes_ -= bytes;
    const auto callback = onWritten_;
    if (callback)
        callback(bytes);
}

auto HttpServerExchange::notifyDisconnected() -> void
{
    const auto callback = std::exchange(onDisconnect_, nullptr);
    detach();
    if (callback)
        callback();
}

auto HttpServerExchange::detach() -> void
{
    connection_ = nullptr;
    onWritten_ = nullptr;
    onDisconnect_ = nullptr;
}

} // namespace camphorshunt::net
