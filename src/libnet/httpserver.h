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
    /** From the first byte of a request until it is complete; a slower sender is refused with 408. */
    std::chrono::milliseconds requestTimeout { 10000 };
    /** An idle connection is closed after this time. */
    std::chrono::milliseconds idleTimeout { 60000 };
    /** The connection is closed when writing queued output takes longer. */
    std::chrono::milliseconds writeTimeout { 30000 };
};

/** How a caller recognises the end of a streamed answer. */
enum class StreamFraming : std::uint8_t {
    Chunks,
    /** The answer ends with its connection. */
    Connection,
};

/**
 * One request and its answer on a server connection. Used on the server's thread only. The answer
 * is either one `respond`, or `beginStream`, any number of `write`, then `finish` or `abort`.
 */
class HttpExchange {
public:
    virtual ~HttpExchange() = default;

    virtual auto respond(std::uint16_t status, HttpHeaders headers, std::string body) -> void = 0;
    virtual auto beginStream(
        std::uint16_t status, HttpHeaders headers, StreamFraming framing = StreamFraming::Chunks) -> void
        = 0;
    /** Queues a chunk. `unwrittenBytes` includes it until it has been written to the socket. */
    virtual auto write(std::string chunk) -> void = 0;
    /** Sends the final chunk, or closes the connection if the answer ends with it. */
    virtual auto finish() -> void = 0;
    /** Closes the connection without a final chunk, so that the caller detects the truncation. */
    virtual auto abort() -> void = 0;
    virtual auto unwrittenBytes() const -> std::size_t = 0;
    /** Sets a callback that receives the size in bytes of each chunk written to the socket. */
    virtual auto onWritten(std::function<void(std::size_t)> callback) -> void = 0;
    /** Sets a callback, called once if the connection is lost before the answer is complete. */
    virtual auto onDisconnect(std::function<void()> callback) -> void = 0;
};

/** HTTP/1.1 server on Beast with keep-alive and limits on header, body, time and connections. */
class HttpServer {
public:
    using Handler = std::function<void(HttpRequest, std::shared_ptr<HttpExchange>)>;

    /** Port 0 selects a free port, which `endpoint` returns. */
    static auto listen(boost::asio::io_context& context, const Endpoint& endpoint,
        const HttpServerLimits& limits, Handler handler) -> Result<std::unique_ptr<HttpServer>>;
    virtual ~HttpServer() = default;

    virtual auto endpoint() const -> Endpoint = 0;
    /** Closes the listening socket and idle connections. Exchanges in progress continue. */
    virtual auto stopAccepting() -> void = 0;
    virtual auto connections() const -> std::size_t = 0;
};

} // namespace camphorshunt::net
