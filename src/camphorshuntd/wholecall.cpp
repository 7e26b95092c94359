#include "wholecall.h"

namespace camphorshunt {

auto callWhole(net::HttpClient& client, const Endpoint& endpoint, net::HttpRequest request,
    const WholeCallTimes& times, std::function<void(WholeAnswer)> onAnswer) -> std::shared_ptr<net::HttpCall>
{
    auto spec = net::HttpCallSpec {};
    spec.endpoint = endpoint;
    spec.request = std::move(request);
    spec.connectTimeout = times.connect;
    spec.firstByteTimeout = times.firstByte;
    spec.gapTimeout = times.gap;

    auto answer = std::make_shared<WholeAnswer>();
    auto handlers = net::HttpCallHandlers {};
    handlers.onHead = [answer](const auto& head) { answer->status = head.status; };
    handlers.onBody = [answer](std::string_view bytes) { answer->body += bytes; };
    handlers.onEnd = [answer, onAnswer = std::move(onAnswer)](net::HttpCallEnd end) {
        answer->end = end;
        onAnswer(std::move(*answer));
    };
    return client.start(std::move(spec), std::move(handlers));
}

} // namespace camphorshunt
