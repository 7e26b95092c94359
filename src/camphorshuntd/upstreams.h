#pragma once

#include <deque>
#include <memory>
#include <string>
#include <unordered_map>
#include <unordered_set>

#include "camphorshunt/upstreamkind.h"

#include "attempt.h"
#include "httpclient.h"
#include "messages.h"

namespace camphorshunt {

/** Sends attempts to upstreams, forwards their answers and polls load reports. Upstreams thread only. */
class Upstreams {
public:
    struct Rings {
        Ring<Event>& toScheduler;
        Ring<UpstreamsToCallers>& toCallers;
        Ring<CallersToUpstreams>& fromCallers;
        Ring<SchedulerToUpstreams>& fromScheduler;
    };

    /** `attemptPrefix` makes attempt ids unique across daemons and process lifetimes. */
    Upstreams(boost::asio::io_context& context, std::string attemptPrefix, const Rings& rings);

private:
    struct Request {
        NewBody body;
        std::shared_ptr<Attempt> attempt;
        /** Id of the attempt that started the caller's stream; later attempts may resume it. */
        std::string streamAttemptId;
        bool headPassed = false;
    };

    auto handle(NewBody body) -> void;
    auto handle(const DropBody& drop) -> void;
    auto handle(const Credit& credit) -> void;
    auto handle(const SendAttempt& order) -> void;
    auto handle(const CancelAttempt& order) -> void;
    auto handle(const PollLoad& order) -> void;

    auto attemptHandlers() -> Attempt::Handlers;
    auto onAttemptEnded(const AttemptEnded& ended) -> void;
    auto reportNotSent(const SendAttempt& order) -> void;
    auto report(Event event) -> void;
    auto httpRequest(const SendAttempt& order, const Request& request, const std::string& id,
        const UpstreamKind& kind) const -> net::HttpRequest;
    auto sendCancel(const Attempt& attempt, const std::string& id) -> void;
    auto findKind(const std::string& name) -> std::shared_ptr<const UpstreamKind>;

    Rings rings_;
    std::string attemptPrefix_;
    std::unique_ptr<net::HttpClient> client_;
    std::unordered_map<std::string, std::shared_ptr<const UpstreamKind>> kinds_;
    std::unordered_map<RequestId, Request> requests_;
    /** Attempts that still run although their callers have disconnected or been answered. */
    std::unordered_map<RequestId, std::shared_ptr<Attempt>> detached_;
    std::unordered_set<UpstreamId> polled_;
    /**
     * Events held back while answer parts overflow the ring to the callers, so that the end of an attempt
     * does not overtake its chunks.
     */
    std::deque<Event> heldReports_;
};

} // namespace camphorshunt
