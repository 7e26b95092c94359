#pragma once

#include "httpserver.h"

namespace camphorshunt::net {

class HttpServerConnection;

/** A handler's reference to one request. Destroying it before the answer ends closes the connection. */
class HttpServerExchange : public HttpExchange {
public:
    explicit HttpServerExchange(std::shared_ptr<HttpServerConnection> connection);
    ~HttpServerExchange() override;
    HttpServerExchange(const HttpServerExchange&) = delete;
    auto operator=(const HttpServerExchange&) -> HttpServerExchange& = delete;

    auto respond(std::uint16_t status, HttpHeaders headers, std::string body) -> void override;
    auto beginStream(std::uint16_t status, HttpHeaders headers, StreamFraming framing) -> void override;
    auto write(std::string chunk) -> void override;
    auto finish() -> void override;
    auto abort() -> void override;
    auto unwrittenBytes() const -> std::size_t override { return unwrittenBytes_; }
    auto onWritten(std::function<void(std::size_t)> callback) -> void override;
    auto onDisconnect(std::function<void()> callback) -> void override;

    auto notifyWritten(std::size_t bytes) -> void;
    auto notifyDisconnected() -> void;
    /** Releases the connection and the callbacks; no callback is called afterwards. */
    auto detach() -> void;

private:
    auto answering() const -> bool { return connection_ && !answered_; }

    std::shared_ptr<HttpServerConnection> connection_;
    std::function<void(std::size_t)> onWritten_;
    std::function<void()> onDisconnect_;
    std::size_t unwrittenBytes_ = 0;
    bool streaming_ = false;
    bool answered_ = false;
};

} // namespace camphorshunt::net
