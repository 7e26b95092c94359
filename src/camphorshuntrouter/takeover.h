#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "camphorshunt/placement.h"
#include "camphorshunt/time.h"
#include "camphorshunt/upstreamentry.h"

#include "upstreamconnection.h"

#include "platform/enginewire.h"

namespace camphorshunt::router {

/**
 * Takes the first step of an answer from an upstream that is to take a request over from a silent one:
 * whether it accepts the request. Until then the silent upstream's attempt goes on.
 */
class TakeoverListener : public AnswerListener, public std::enable_shared_from_this<TakeoverListener> {
public:
    struct Handlers {
        /** Whether the request may still be sent there, once the connection has been set up. */
        std::function<bool()> maySend;
        /** See `UpstreamConnection::isFirstAnswer`; none if it is always the first one. */
        std::function<bool()> isFirstAnswer;
        /** The head of any answer, for what it says about the upstream. */
        std::function<void(const platform::EngineAnswer&)> onAnswer;
        /** The upstream does not take the request, which has ended there in this way. */
        std::function<void(PlacementEnd)> onRejected;
        /** The head of the upstream's answer; returns what `AnswerListener::headArrived` returns. */
        std::function<bool(const platform::ResponseHeader&)> onAccepted;
    };

    /** `streamStatus`: of a stream that has begun; only its rest will do as an answer then. */
    TakeoverListener(std::string attempt, std::optional<unsigned> streamStatus, Handlers handlers)
        : attempt_(std::move(attempt))
        , streamStatus_(streamStatus)
        , handlers_(std::move(handlers))
    {
    }

    auto connectionOpened() -> void override;
    auto connectionFailed() -> void override;
    auto headArrived(const platform::ResponseHeader& header) -> bool override;
    auto bodyArrived(std::string_view /*bytes*/) -> void override { }
    auto answerEnded(AnswerEnd end) -> void override;

private:
    auto reject(PlacementEnd end) -> void;

    std::string attempt_;
    std::optional<unsigned> streamStatus_;
    Handlers handlers_;
};

/** The move of a request away from a silent upstream, from the search for another one to its acceptance. */
struct Takeover {
    /** Number under which an engine was requested; empty for plain services. */
    std::optional<std::uint64_t> number;
    /** Set once the request has been sent there. */
    std::optional<UpstreamEntry> upstream;
    std::shared_ptr<TakeoverListener> listener;
    std::shared_ptr<UpstreamConnection> connection;
    Time sent {};

    auto isSent() const -> bool { return upstream.has_value(); }
};

} // namespace camphorshunt::router
