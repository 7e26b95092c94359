#pragma once

#include <string>

#include "httpclient.h"

namespace camphorshunt::net {

/** How a blocking call ended, and the part of the answer received until then. */
struct HttpAnswer {
    HttpCallEnd end {};
    HttpResponseHead head;
    std::string body;

    auto isComplete() const -> bool { return end == HttpCallEnd::Complete; }
    auto isSuccess() const -> bool { return isComplete() && head.status >= 200 && head.status < 300; }
};

/** Makes one call on a new connection and blocks until it ends. For tools and tests. */
auto callBlocking(HttpCallSpec spec) -> HttpAnswer;

} // namespace camphorshunt::net
