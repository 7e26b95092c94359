#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <string_view>

#include <boost/asio/io_context.hpp>

#include "camphorshunt/endpoint.h"

#include "httptypes.h"

namespace camphorshunt::net {

struct HttpCallSpec {
    Endpoint endpoint;
    HttpRequest request;
    /** Never reuse an idle connection. */
    bool freshConnection = false;
    std::chrono::milliseconds connectTimeout { 1000 };
    /** From the start of sending the request until the header of the final answer has been read. */
    std::chrono::milliseconds firstByteTimeout { 15000 };
    /** Maximum time between two reads of the body. */
    std::chrono::milliseconds gapTimeout { 5000 };
    /** From the start of the call to its end, however steadily bytes arrive; zero for no limit. */
    std::chrono::milliseconds totalTimeout { 0 };
    std::size_t maxBodyBytes = std::size_t { 64 } * 1024 * 1024;
};

enum class HttpCallEnd {
    Complete,
    /** No connection was made, so no byte of the request was sent. */
    NotSent,
    /** The connection failed, or the answer is malformed, too long or not known to be complete. */
    Broken,
    /** The peer exceeded `firstByteTimeout` or `gapTimeout`. */
    Silent,
    Cancelled,
};

struct HttpCallHandlers {
    std::function<void(const HttpResponseHead&)> onHead;
    std::function<void(std::string_view)> onBody;
    /** Always called, exactly once and last; never from inside `HttpClient::start`. */
    std::function<void(HttpCallEnd)> onEnd;
};

/** A call in progress. Used on the client's thread only. */
class HttpCall {
public:
    virtual ~HttpCall() = default;

    virtual auto cancel() -> void = 0;
    /** Stops reading the body, for backpressure. Suspends the gap timeout. */
    virtual auto pause() -> void = 0;
    virtual auto resume() -> void = 0;
    /** Closes the connection after this call instead of keeping it for reuse. */
    virtual auto discardConnection() -> void = 0;
};

/**
 * HTTP/1.1 client on Beast. Keeps idle connections per endpoint and reuses only those whose last
 * call ended as Complete. If a reused connection fails before the first byte of an answer, the call
 * ends as Broken, not as NotSent.
 */
class HttpClient {
public:
    static auto create(boost::asio::io_context& context, std::size_t maxIdlePerEndpoint,
        std::chrono::milliseconds idleTimeout) -> std::unique_ptr<HttpClient>;
    virtual ~HttpClient() = default;

    virtual auto start(HttpCallSpec spec, HttpCallHandlers handlers) -> std::shared_ptr<HttpCall> = 0;
};

} // namespace camphorshunt::net
