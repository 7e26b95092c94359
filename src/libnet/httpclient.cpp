#include "httpclient.h"

#include <utility>
#include <vector>

#include <boost/asio/post.hpp>

#include "httpclientcall.h"
#include "httpidlepool.h"

namespace camphorshunt::net {

namespace asio = boost::asio;

namespace {

class BeastHttpClient : public HttpClient {
public:
    BeastHttpClient(
        asio::io_context& context, std::size_t maxIdlePerEndpoint, std::chrono::milliseconds idleTimeout)
        : context_(context)
        , pool_(std::make_shared<HttpIdlePool>(maxIdlePerEndpoint, idleTimeout))
    {
    }

    ~BeastHttpClient() override { pool_->clear(); }

    BeastHttpClient(const BeastHttpClient&) = delete;
    auto operator=(const BeastHttpClient&) -> BeastHttpClient& = delete;

    auto start(HttpCallSpec spec, HttpCallHandlers handlers) -> std::shared_ptr<HttpCall> override
    {
        auto call = std::make_shared<HttpClientCall>(context_, pool_, std::move(spec), std::move(handlers));
        asio::post(context_, [call] { call->begin(); });
        return call;
    }

private:
    asio::io_context& context_;
    std::shared_ptr<HttpIdlePool> pool_;
};

} // namespace

auto HttpClient::create(asio::io_context& context, std::size_t maxIdlePerEndpoint,
    std::chrono::milliseconds idleTimeout) -> std::unique_ptr<HttpClient>
{
    return std::make_unique<BeastHttpClient>(context, maxIdlePerEndpoint, idleTimeout);
}

} // namespace camphorshunt::net
