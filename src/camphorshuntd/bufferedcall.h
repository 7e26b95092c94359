#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <string>

#include "httpclient.h"

namespace camphorshunt {

/** How a short call ended: the status and body of a whole answer. */
struct BufferedAnswer {
    net::HttpCallEnd end {};
    std::uint16_t status {};
    std::string body;

    auto ok() const -> bool { return end == net::HttpCallEnd::Complete && status == 200; }
};

/** Times allowed for a short call. */
struct BufferedCallTimeouts {
    std::chrono::milliseconds connect { 1000 };
    std::chrono::milliseconds firstByte { 1000 };
    std::chrono::milliseconds gap { 1000 };
};

/** Makes a call whose answer is wanted in one piece. */
auto callBuffered(net::HttpClient& client, const Endpoint& endpoint, net::HttpRequest request,
    const BufferedCallTimeouts& timeouts, std::function<void(BufferedAnswer)> onAnswer)
    -> std::shared_ptr<net::HttpCall>;

} // namespace camphorshunt
