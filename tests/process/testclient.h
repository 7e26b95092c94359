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

/** One HTTP call on its own connection; returns when it has ended. */
auto call(const Endpoint& endpoint, net::HttpRequest request) -> Answer;
auto get(const Endpoint& endpoint, std::string target) -> Answer;
auto post(const Endpoint& endpoint, std::string target, std::string body) -> Answer;
/** The same on a thread of its own. */
auto callAsync(const Endpoint& endpoint, net::HttpRequest request) -> std::future<Answer>;

/** A call that a test can watch while it streams. */
class WatchedCall {
public:
    WatchedCall(const Endpoint& endpoint, net::HttpRequest request);
    ~WatchedCall();

    /** Waits until this text was received; false if the call ends without it. */
    auto waitFor(std::string_view text) -> bool;
    auto cancel() -> void;
    auto finish() -> Answer;

private:
    struct State;
    std::shared_ptr<State> state_;
    std::future<void> done_;
};

/** Asks again and again until it holds; false after a generous time. */
auto eventually(const std::function<bool()>& holds, std::chrono::seconds limit = std::chrono::seconds(60))
    -> bool;

} // namespace camphorshunt::test
