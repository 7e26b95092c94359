#include "liveness/enginequery.h"

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include "httpresponsekind.h"

#include "platform/enginereport.h"

namespace camphorshunt::router {

namespace {

namespace http = boost::beast::http;
using Outcome = EngineQueryResult::Outcome;
using ErrorCode = boost::system::error_code;

constexpr auto connectTimeout = std::chrono::milliseconds(500);
constexpr auto answerTimeout = std::chrono::milliseconds(500);
constexpr auto maxInterimResponses = 8U;
constexpr auto maxReportBytes = std::size_t { 64 } * 1024;

/** One query, which exists until its last operation has ended. */
class Query : public std::enable_shared_from_this<Query> {
public:
    Query(boost::asio::io_context& context, EngineQuerySender::Handler handler)
        : stream_(context)
        , handler_(std::move(handler))
    {
    }

    auto start(const Endpoint& engine) -> void
    {
        auto invalid = ErrorCode {};
        const auto address = boost::asio::ip::make_address(engine.address, invalid);
        if (invalid) {
            boost::asio::post(stream_.get_executor(),
                [self = shared_from_this()] { self->finish({ Outcome::Unanswered }); });
            return;
        }
        request_ = { http::verb::get, std::string(platform::reportTarget), 11 };
        request_.set(http::field::host, engine.text());
        request_.set(http::field::connection, "close");
        stream_.expires_after(connectTimeout);
        stream_.async_connect({ address, engine.port },
            [self = shared_from_this()](const ErrorCode& error) { self->connected(error); });
    }

private:
    auto connected(const ErrorCode& error) -> void
    {
        if (error) {
            const auto isRefused = error == boost::asio::error::connection_refused;
            finish({ isRefused ? Outcome::Refused : Outcome::Unanswered });
            return;
        }
        stream_.expires_after(answerTimeout);
        http::async_write(
            stream_, request_, [self = shared_from_this()](const ErrorCode& writeError, std::size_t) {
                self->written(writeError);
            });
    }

    auto written(const ErrorCode& error) -> void
    {
        if (error) {
            finish({ Outcome::Unanswered });
            return;
        }
        read();
    }

    auto read() -> void
    {
        parser_.emplace();
        parser_->body_limit(maxReportBytes);
        http::async_read(stream_, buffer_, *parser_,
            [self = shared_from_this()](const ErrorCode& error, std::size_t) { self->answered(error); });
    }

    auto answered(const ErrorCode& error) -> void
    {
        const auto kind = error ? std::nullopt : std::optional(net::kindOf(parser_->get().base()));
        // A process that is about to end may still accept the connection.
        if (kind == net::HttpResponseKind::Answer)
            finish({ Outcome::Answered, platform::startOfReport(parser_->get().body()) });
        else if (kind == net::HttpResponseKind::Interim && ++interimResponses_ <= maxInterimResponses)
            read();
        else
            finish({ Outcome::Unanswered });
    }

    auto finish(const EngineQueryResult& result) -> void
    {
        stream_.close();
        std::exchange(handler_, nullptr)(result);
    }

    boost::beast::tcp_stream stream_;
    EngineQuerySender::Handler handler_;
    http::request<http::empty_body> request_;
    std::optional<http::response_parser<http::string_body>> parser_;
    unsigned interimResponses_ = 0;
    boost::beast::flat_buffer buffer_ { maxReportBytes };
};

} // namespace

auto EngineQuerySender::send(const Endpoint& engine, Handler handler) -> void
{
    std::make_shared<Query>(context_, std::move(handler))->start(engine);
}

} // namespace camphorshunt::router
