#pragma once

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>

#include "camphorshunt/endpoint.h"
#include "camphorshunt/result.h"

#include "httptypes.h"

namespace camphorshunt::net {

struct HttpServerLimits {
    std::size_t headerBytes = std::size_t { 16 } * 1024;
    std::size_t bodyBytes = std::size_t { 4 } * 1024 * 1024;
    std::size_t connections = 1024;
    /** To read a whole request once its first byte came; slow senders are cut off. */
    std::chrono::milliseconds requestTimeout { 10000 };
    std::chrono::milliseconds idleTimeout { 60000 };
    std::chrono::milliseconds writeTimeout { 30000 };
};

/**
 * One request and its answer on a server connection. Used on the server's thread only. The answer
 * is either one `respond`, or `beginStream`, any number of `write` and `finish` or `abort`.
 */
class HttpExchange {
public:
    virtual ~HttpExchange() = default;

    virtual auto respond(std::uint16_t status, HttpHeaders headers, std::string body) -> void = 0;
    virtual auto beginStream(std::uint16_t status, HttpHeaders headers) -> void = 0;
    /** Queues a chunk; `unwrittenBytes` grows until the socket has taken it. */
    virtual auto write(std::string chunk) -> void = 0;
    /** Sends the final chunk. */
    virtual auto finish() -> void = 0;
    /** Closes the connection without a final chunk, so that the caller sees the cut. */
    virtual auto abort() -> void = 0;
    virtual auto unwrittenBytes() const -> std::size_t = 0;
    /** Called with the number of bytes of a chunk once the socket has taken it. */
    virtual auto onWritten(std::function<void(std::size_t)> callback) -> void = 0;
    /** Called once if the caller closes before the answer is whole. */
    virtual auto onDisconnect(std::function<void()> callback) -> void = 0;
};

/** HTTP/1.1 server on Beast with keep-alive and limits on header, body, time and connections. */
class HttpServer {
public:
    using Handler = std::function<void(HttpRequest, std::shared_ptr<HttpExchange>)>;

    /** Port 0 takes a free port; see `endpoint`. */
    static auto listen(boost::asio::io_context& context, const Endpoint& endpoint,
        const HttpServerLimits& limits, Handler handler) -> Result<std::unique_ptr<HttpServer>>;
    virtual ~HttpServer() = default;

    virtual auto endpoint() const -> Endpoint = 0;
    /** Closes the listening socket and idle connections; exchanges in progress go on. */
    virtual auto stopAccepting() -> void = 0;
    virtual auto connections() const -> std::size_t = 0;
};

} // namespace camphorshunt::net
