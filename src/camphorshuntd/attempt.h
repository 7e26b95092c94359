#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "camphorshunt/upstreamkind.h"

#include "httpclient.h"
#include "messages.h"

namespace camphorshunt {

/** One attempt to run a request at an upstream, from sending to its end. Upstreams thread only. */
class Attempt : public std::enable_shared_from_this<Attempt> {
public:
    /** Called on the upstreams thread. */
    struct Handlers {
        std::function<void(AnswerHead)> onHead;
        std::function<void(AnswerChunk)> onChunk;
        std::function<void(CompleteAnswer)> onComplete;
        std::function<void(AttemptProgress)> onProgress;
        /** Called exactly once, after all other handlers. */
        std::function<void(AttemptEnded)> onEnd;
    };

    /** The answer must echo `id`; `headPassed`: an earlier attempt has sent the head to the caller. */
    Attempt(SendAttempt order, std::string id, std::shared_ptr<const UpstreamKind> kind, bool headPassed,
        Handlers handlers);

    auto start(net::HttpClient& client, net::HttpRequest request) -> void;
    auto cancel() -> void;
    /** Reports that `bytes` of the answer were written to the caller's socket; may resume reading. */
    auto credit(std::size_t bytes) -> void;
    /** Continues without forwarding the answer, because the caller has disconnected or been answered. */
    auto detach() -> void;

    auto order() const -> const SendAttempt& { return order_; }
    auto id() const -> const std::string& { return id_; }
    auto kind() const -> const UpstreamKind& { return *kind_; }

private:
    /** How the bytes of the answer are handled. */
    enum class Mode {
        /** No head received yet. */
        Waiting,
        Stream,
        /** Collected and forwarded in one piece. */
        Buffer,
        Ignore,
    };

    auto handleHead(const net::HttpResponseHead& head) -> void;
    auto handleBody(std::string_view bytes) -> void;
    auto handleEnd(net::HttpCallEnd end) -> void;
    auto abort(AttemptResult result) -> void;
    auto passChunk(std::string bytes) -> void;
    auto passBuffered(RequestOutcome outcome) -> void;
    auto reportProgress() -> void;
    auto resultOf(net::HttpCallEnd end) const -> AttemptResult;

    SendAttempt order_;
    std::string id_;
    std::shared_ptr<const UpstreamKind> kind_;
    Handlers handlers_;
    std::unique_ptr<AnswerReader> reader_;
    std::shared_ptr<net::HttpCall> call_;

    Mode mode_ = Mode::Waiting;
    /** The result, if it was determined before the call ended. */
    std::optional<AttemptResult> earlyResult_;
    bool headPassed_;
    bool detached_ = false;
    bool paused_ = false;
    bool ended_ = false;
    std::uint16_t status_ {};
    std::string contentType_;
    std::string buffered_;
    std::size_t uncreditedBytes_ {};
    std::uint32_t tokensReported_;
    std::chrono::steady_clock::time_point reportedAt_;
};

} // namespace camphorshunt
