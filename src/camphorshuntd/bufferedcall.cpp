#include "bufferedcall.h"

namespace camphorshunt {

auto callBuffered(net::HttpClient& client, const Endpoint& endpoint, net::HttpRequest request,
    const BufferedCallLimits& limits, std::function<void(BufferedAnswer)> onAnswer)
    -> std::shared_ptr<net::HttpCall>
{
    auto spec = net::HttpCallSpec {};
    spec.endpoint = endpoint;
    spec.request = std::move(request);
    spec.connectTimeout = limits.connect;
    spec.firstByteTimeout = limits.firstByte;
    spec.gapTimeout = limits.gap;
    spec.totalTimeout = limits.total;
    spec.maxBodyBytes = limits.bodyBytes;

    auto answer = std::make_shared<BufferedAnswer>();
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
