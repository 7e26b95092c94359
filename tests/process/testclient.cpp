#include "testclient.h"

#include <condition_variable>
#include <mutex>
#include <thread>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

namespace camphorshunt::test {

namespace {

constexpr auto callTimeout = std::chrono::milliseconds(60000);

auto makeSpec(const Endpoint& endpoint, net::HttpRequest request) -> net::HttpCallSpec
{
    auto spec = net::HttpCallSpec {};
    spec.endpoint = endpoint;
    spec.request = std::move(request);
    spec.freshConnection = true;
    spec.firstByteTimeout = callTimeout;
    spec.gapTimeout = callTimeout;
    return spec;
}

} // namespace

struct WatchedCall::State {
    boost::asio::io_context context;
    std::mutex mutex;
    std::condition_variable changed;
    Answer answer;
    bool ended = false;
    std::shared_ptr<net::HttpCall> call;
};

WatchedCall::WatchedCall(const Endpoint& endpoint, net::HttpRequest request)
    : state_(std::make_shared<State>())
{
    done_ = std::async(
        std::launch::async, [state = state_, spec = makeSpec(endpoint, std::move(request))]() mutable {
            const auto client = net::HttpClient::create(state->context, 0, std::chrono::milliseconds(1000));
            auto handlers = net::HttpCallHandlers {};
            handlers.onHead = [&](const net::HttpResponseHead& head) {
                const auto lock = std::lock_guard(state->mutex);
                state->answer.status = head.status;
                state->answer.headers = head.headers;
            };
            handlers.onBody = [&](std::string_view bytes) {
                const auto lock = std::lock_guard(state->mutex);
                state->answer.body += bytes;
                state->changed.notify_all();
            };
            handlers.onEnd = [&](net::HttpCallEnd end) {
                const auto lock = std::lock_guard(state->mutex);
                state->answer.end = end;
                state->ended = true;
                state->changed.notify_all();
                state->context.stop();
            };
            state->call = client->start(std::move(spec), std::move(handlers));
            const auto work = boost::asio::make_work_guard(state->context);
            state->context.run();
            state->call.reset();
        });
}

WatchedCall::~WatchedCall()
{
    if (!done_.valid())
        return;
    cancel();
    done_.wait();
}

auto WatchedCall::waitFor(std::string_view text) -> bool
{
    auto lock = std::unique_lock(state_->mutex);
    const auto found = [&] { return state_->answer.body.find(text) != std::string::npos; };
    state_->changed.wait(lock, [&] { return found() || state_->ended; });
    return found();
}

auto WatchedCall::cancel() -> void
{
    boost::asio::post(state_->context, [state = state_] {
        if (state->call)
            state->call->cancel();
    });
}

auto WatchedCall::finish() -> Answer
{
    done_.get();
    return state_->answer;
}

auto call(const Endpoint& endpoint, net::HttpRequest request) -> Answer
{
    return WatchedCall(endpoint, std::move(request)).finish();
}

auto get(const Endpoint& endpoint, std::string target) -> Answer
{
    return call(endpoint, { "GET", std::move(target), {}, {} });
}

auto post(const Endpoint& endpoint, std::string target, std::string body) -> Answer
{
    return call(
        endpoint, { "POST", std::move(target), { { "Content-Type", "application/json" } }, std::move(body) });
}

auto callAsync(const Endpoint& endpoint, net::HttpRequest request) -> std::future<Answer>
{
    return std::async(
        std::launch::async, [endpoint, request = std::move(request)] { return call(endpoint, request); });
}

auto eventually(const std::function<bool()>& holds, std::chrono::seconds limit) -> bool
{
    const auto end = std::chrono::steady_clock::now() + limit;
    while (!holds()) {
        if (std::chrono::steady_clock::now() > end)
            return false;
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    return true;
}

} // namespace camphorshunt::test
