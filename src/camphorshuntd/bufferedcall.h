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

/** Limits of a buffered call. */
struct BufferedCallLimits {
    std::chrono::milliseconds connect { 1000 };
    std::chrono::milliseconds firstByte { 1000 };
    std::chrono::milliseconds gap { 1000 };
    /** From the start of the call to its end, however steadily bytes arrive; zero for no limit. */
    std::chrono::milliseconds total { 5000 };
    /** A longer answer ends the call as broken. */
    std::size_t bodyBytes = std::size_t { 1024 } * 1024;
};

/** Starts a call and passes its answer to `onAnswer` in one piece when the call ends. */
auto callBuffered(net::HttpClient& client, const Endpoint& endpoint, net::HttpRequest request,
    const BufferedCallLimits& limits, std::function<void(BufferedAnswer)> onAnswer)
    -> std::shared_ptr<net::HttpCall>;

} // namespace camphorshunt
