#include "callerconnection.h"

#include <algorithm>
#include <utility>

#include "exchange.h"
#include "relay.h"

#include "platform/callerwire.h"

// What a connection may hold, and how it ends when it holds too much.

namespace camphorshunt::router {

namespace {

/** Bytes; an empty string's inline buffer is part of the connection. */
constexpr auto leastAccounted = std::size_t { 64 };
/** Retry time of a caller that was refused as memory is short: another router is likely to serve it. */
constexpr auto shedRetry = std::chrono::milliseconds(300);

} // namespace

auto CallerConnection::refuseExcess() -> bool
{
    const auto& limits = relay_.limits();
    // The parser consumes chunk sizes with their extensions, and trailers, only as a whole.
    const auto isUnparsed = parser_->is_header_done() && input_.size() > limits.headerBytes;
    const auto body = parser_->get().body().size();
    if (!isUnparsed
        && !isFramingExcessive(consumed_ - std::min(consumed_, body), body, 2 * limits.headerBytes))
        return false;
    relay_.metrics().callerClosed("framing");
    refuse(431, "the framing of the body is too long");
    return true;
}

auto CallerConnection::heldBytes() const -> std::size_t
{
    // Of a body, the size counts: what is reserved for its announced length is not resident.
    auto held = input_.capacity() + output_.capacity();
    if (parser_)
        held += consumed_ > 0
            ? std::min(consumed_, relay_.limits().headerBytes) + parser_->get().body().size()
            : 0;
    if (exchange_)
        held += exchange_->heldBytes();
    return held;
}

auto CallerConnection::account() -> void
{
    const auto held = open_ ? heldBytes() : 0;
    relay_.accountCaller(*this, exchange_ ? exchange_->organisation() : OrganisationId {},
        held > leastAccounted ? held : 0, std::max(inputAt_, outputProgressAt_));
}

auto CallerConnection::shed() -> void
{
    // It may have become idle since it was chosen.
    if (!open_ || (isIdle() && !shed_))
        return;
    const auto self = shared_from_this();
    const auto isFirst = !std::exchange(shed_, true);
    constexpr auto reason = std::string_view("the memory for callers is used up");
    relay_.log(LogLevel::Warning, "caller-shed",
        { { "reason", std::string(reason) }, { "bytes", std::to_string(heldBytes()) },
            { "memory-held", std::to_string(relay_.callerMemory().held()) },
            { "memory-limit", std::to_string(relay_.callerMemory().capacity()) } });
    relay_.metrics().callerClosed("memory");
    if (!isFirst || closing_ || !output_.empty()) {
        // Answers that the caller does not take are part of what it holds.
        reset();
        return;
    }
    if (const auto exchange = exchange_)
        exchange->abandon(reason);
    else
        write(platform::writeRouterAnswer({ 503, {}, reason, shedRetry, true }));
    if (open_)
        closeGracefully();
}

} // namespace camphorshunt::router
