#pragma once

#include "scriptedupstream.h"
#include "takeover.h"

namespace camphorshunt::test {

/** How an attempt ends to move the request `second` to an upstream that sends these bytes and closes. */
inline auto endOfTakeover(std::string_view bytes) -> std::optional<PlacementEnd>
{
    auto upstream = ScriptedUpstream {};
    auto rejected = std::optional<PlacementEnd> {};
    auto handlers = router::TakeoverListener::Handlers {};
    handlers.onRejected = [&rejected](PlacementEnd end) { rejected = end; };
    handlers.onAccepted = [](const platform::ResponseHeader&) {
        FAIL_CHECK("the answer was accepted");
        return true;
    };
    const auto listener
        = std::make_shared<router::TakeoverListener>("second", std::nullopt, std::move(handlers));
    const auto connection
        = upstream.pool.send(upstream.entry, "GET / HTTP/1.1\r\n\r\n", false, false, *listener);
    upstream.acceptor.accept(upstream.socket);
    upstream.run();
    upstream.answer(bytes);
    upstream.end(false);
    connection->close();
    return rejected;
}

} // namespace camphorshunt::test
