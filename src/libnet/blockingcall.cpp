#include "blockingcall.h"

namespace camphorshunt::net {

auto callBlocking(HttpCallSpec spec) -> HttpAnswer
{
    auto context = boost::asio::io_context {};
    auto answer = HttpAnswer {};
    auto handlers = HttpCallHandlers {};
    handlers.onHead = [&](const HttpResponseHead& head) { answer.head = head; };
    handlers.onBody = [&](std::string_view bytes) { answer.body += bytes; };
    handlers.onEnd = [&](HttpCallEnd end) {
        answer.end = end;
        context.stop();
    };

    spec.freshConnection = true;
    const auto client = HttpClient::create(context, 0, std::chrono::milliseconds(1000));
    const auto call = client->start(std::move(spec), std::move(handlers));
    context.run();
    return answer;
}

} // namespace camphorshunt::net
