#pragma once

#include <chrono>
#include <functional>
#include <future>
#include <string>
#include <string_view>

#include "camphorshunt/endpoint.h"

#include "httpclient.h"

namespace camphorshunt::test {

struct Answer {
    net::HttpCallEnd end {};
    std::uint16_t status {};
    net::HttpHeaders headers;
    std::string body;

    auto header(std::string_view name) const -> std::string_view { return net::headerValue(headers, name); }
    auto outcome() const -> std::string_view { return header("Camphorshunt-Outcome"); }
    auto isComplete() const -> bool { return end == net::HttpCallEnd::Complete; }
};

/** Makes one HTTP call on a new connection and blocks until it has ended. */
auto call(const Endpoint& endpoint, net::HttpRequest request) -> Answer;
auto get(const Endpoint& endpoint, std::string target) -> Answer;
auto post(const Endpoint& endpoint, std::string target, std::string body) -> Answer;
/** Runs `call` on a separate thread. */
auto callAsync(const Endpoint& endpoint, net::HttpRequest request) -> std::future<Answer>;

/**
 * An HTTP call on a separate thread whose answer can be inspected while it streams.
 * The destructor cancels an unfinished call and waits for its thread.
 */
class WatchedCall {
public:
    WatchedCall(const Endpoint& endpoint, net::HttpRequest request);
    ~WatchedCall();

    /** Blocks until the body received so far contains `text`; false if the call ends without it. */
    auto waitFor(std::string_view text) -> bool;
    auto cancel() -> void;
    /** Blocks until the call has ended. May be called once. */
    auto finish() -> Answer;

private:
    struct State;
    std::shared_ptr<State> state_;
    std::future<void> done_;
};

/** Polls the condition every 20 ms until it holds; false if it does not within `limit`. */
auto eventually(const std::function<bool()>& holds, std::chrono::seconds limit = std::chrono::seconds(60))
    -> bool;

} // namespace camphorshunt::test
