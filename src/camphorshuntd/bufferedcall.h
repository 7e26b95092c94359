#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <string>

#include "httpclient.h"

namespace camphorshunt {

/** Result of a buffered call. Status and body may be incomplete unless `end` is `Complete`. */
struct BufferedAnswer {
    net::HttpCallEnd end {};
    std::uint16_t status {};
    std::string body;

    auto ok() const -> bool { return end == net::HttpCallEnd::Complete && status == 200; }
};

/** Timeouts of a buffered call. */
struct BufferedCallTimeouts {
    std::chrono::milliseconds connect { 1000 };
    std::chrono::milliseconds firstByte { 1000 };
    std::chrono::milliseconds gap { 1000 };
};

/** Starts a call and passes its answer to `onAnswer` in one piece when the call ends. */
auto callBuffered(net::HttpClient& client, const Endpoint& endpoint, net::HttpRequest request,
    const BufferedCallTimeouts& timeouts, std::function<void(BufferedAnswer)> onAnswer)
    -> std::shared_ptr<net::HttpCall>;

} // namespace camphorshunt
