#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "camphorshunt/placement.h"
#include "camphorshunt/routetable.h"
#include "camphorshunt/upstreamentry.h"

#include "answerintake.h"
#include "callerconnection.h"
#include "clock.h"
#include "requestforms.h"
#include "requestrecord.h"
#include "takeover.h"
#include "upstreamconnection.h"

#include "platform/callerwire.h"

namespace camphorshunt::router {

/**
 * One caller's request from its arrival to the end of its answer. Finds the route and an upstream, sends the
 * request, relays the answer, and retries or resumes at another upstream where the route's kind makes that
 * safe. Used on the relay's thread only.
 */
class Exchange : public AnswerListener, public std::enable_shared_from_this<Exchange> {
public:
    static auto create(Relay& relay, CallerConnection& caller, CallerConnection::Request request,
        bool keepAlive) -> std::shared_ptr<Exchange>
    {
        return std::shared_ptr<Exchange>(new Exchange(relay, caller, std::move(request), keepAlive));
    }
    Exchange(const Exchange&) = delete;
    Exchange(Exchange&&) = delete;
    auto operator=(const Exchange&) -> Exchange& = delete;
    auto operator=(Exchange&&) -> Exchange& = delete;
    ~Exchange() override;

    auto start() -> void;
    auto number() const -> std::uint64_t { return number_; }
    /**
     * The scheduler has chosen an engine. `copyFrom`: an engine that has more of the prompt cached, from
     * which the chosen one can copy; may be null.
     */
    auto onPlaced(std::uint64_t number, const UpstreamEntry& upstream, const UpstreamEntry* copyFrom) -> void;
    /** Stores the figures on which the placer based its decision, for the log. */
    auto setPlacementInputs(const PlacementInputs& inputs) -> void { placementInputs_ = inputs; }
    auto onRefused(std::uint64_t number, RefusalReason reason, std::chrono::milliseconds retryAfter) -> void;
    /** The chosen engine drains or has left the directory: requests another one, until the deadline. */
    auto placeAgain(std::uint64_t number, const UpstreamProcess& left) -> void;
    auto onCallerDisconnected() -> void;
    /** For a reason of this router: the caller gets an answer unless a part of one has been passed on. */
    auto abandon(std::string_view reason) -> void;
    /** The key holder's id; empty if the route needs no key or the request was refused. */
    auto organisation() const -> OrganisationId;
    /** Memory held for the caller, in bytes: the body, its copy for the upstream, what waits of the answer.
     */
    auto heldBytes() const -> std::size_t;
    /** The caller, which was congested, takes bytes again. */
    auto onCallerReady() -> void;
    /** Handles expired timeouts. Returns the time of the next check, or none if the request has ended. */
    auto check(Time now) -> std::optional<Time>;

    auto connectionFailed() -> void override;
    auto connectionOpened() -> void override;
    auto headArrived(const platform::ResponseHeader& header) -> bool override;
    auto bodyArrived(std::string_view bytes) -> void override;
    auto answerEnded(AnswerEnd end) -> void override;

private:
    /** Interval of checks while the upstream is not read because its caller is congested. */
    static constexpr auto pauseCheckInterval = Duration(std::chrono::milliseconds(100));

    /** An attempt with less time left before the deadline is not worth sending. */
    static constexpr auto minTimeLeft = Duration(std::chrono::milliseconds(5));
    /** Limit of upstreams tried for one request, also without a connection, which does not count as a send.
     */
    static constexpr auto maxUpstreamsTried = std::size_t { 4 };
    /** A request under which so many upstreams have broken off may have ended them, and is not sent again. */
    static constexpr auto maxBrokenOff = 2U;

    enum class State : std::uint8_t { Placing, Sent, Answering, Done };

    Exchange(Relay& relay, CallerConnection& caller, CallerConnection::Request request, bool keepAlive);

    /** False if the request is refused, for example a stream that would outlast a router that shuts down. */
    auto admit() -> bool;
    auto assignUpstream() -> void;
    auto routed() const -> RoutedRequest { return { message_, request_, *route_, organisation_, service_ }; }
    /** Requests an engine other than those in `avoid`, under this number. */
    auto requestEngine(std::uint64_t number, std::vector<UpstreamId> avoid) -> void;
    auto chooseUpstream() -> void;
    auto beginAttempt(const UpstreamEntry& upstream, Time sent) -> void;
    auto send(const UpstreamEntry& upstream, const UpstreamEntry* copyFrom) -> void;
    auto onDeadline() -> void;

    /** Gives back a place at an upstream that leaves or rests, and asks for another one. */
    auto withhold(const UpstreamEntry& upstream) -> void;
    auto avoidWithheld(const UpstreamProcess& process) -> void;
    auto enginesToAvoid() const -> std::vector<UpstreamId>;
    /** Waits until an upstream has rested if the request can be on time then; otherwise ends it. */
    auto waitForRest(Time now) -> void;
    /** How an attempt ends that was refused; a refusal by an upstream that leaves or rests is no fault. */
    auto endOfRefusal(PlacementEnd end) const -> PlacementEnd;
    /** The caller's retry time if this upstream rests and all others do or leave. */
    auto retryAfterRest() -> std::optional<std::chrono::milliseconds>;
    /** Time from `now` to a moment soon after `end`, which differs between callers. */
    auto retryAt(Time now, Time end) -> std::chrono::milliseconds;
    auto drawSpread() -> std::chrono::milliseconds;

    /** Ends the attempt and starts another one at a different upstream; false if no retry is allowed. */
    auto retryElsewhere(PlacementEnd end, std::string_view reason) -> bool;
    /** Closes the connection to an upstream that may have run the request. */
    auto abandonAttempt(PlacementEnd end, std::string_view reason) -> void;
    auto attemptFailed(PlacementEnd end, bool mayHaveRun, std::string_view reason) -> void;
    auto endAttempt(PlacementEnd end) -> void;
    /** Ends the attempt, or takes the request for an engine back, for a reason of this router's own. */
    auto cancelAttempt() -> void;
    /** Ends the current attempt; `again`: another one follows. */
    auto endFailedAttempt(PlacementEnd end, std::string_view reason, bool again) -> void;
    auto recordSilence(Time now) -> void;
    auto recordProgress() -> void;
    /** Stops reading the upstream if the caller takes the answer more slowly than it arrives. */
    auto passOn(std::string text) -> void;
    auto pauseIfCongested() -> void;

    /** Whether the limits of a request allow another upstream after so many. */
    auto maySendAgain(std::size_t tried) const -> bool;
    /** Whether the request may be sent or resumed elsewhere while its attempt still runs. */
    auto mayMove() const -> bool;
    /**
     * Looks for another upstream, as this one has been silent. It may be sound and go on, so its attempt
     * continues until another upstream takes the request. Returns when to check again.
     */
    auto onSilence(Time now) -> Time;
    auto onMovePlaced(const UpstreamEntry& upstream, const UpstreamEntry* copyFrom) -> void;
    /** Sends the request to another upstream as well; the silent one's attempt goes on until it is accepted.
     */
    auto startMove(const UpstreamEntry& upstream, const UpstreamEntry* copyFrom) -> void;
    auto onMoveRejected(PlacementEnd end) -> void;
    /** Ends the attempt in favour of the upstream that takes the request over. */
    auto takeOver(PlacementEnd end, std::string_view reason) -> void;
    auto reportMoveEnd(const Takeover& move, PlacementEnd end) -> void;
    auto withdrawMove() -> void;
    /** Keeps waiting for the silent upstream, and tries to move again after `pause`. */
    auto postponeMove(std::string_view reason, Duration pause) -> void;
    /** Consumes from the service's retry budget if it allows a further send. */
    auto mayRetry() -> bool;
    /**
     * Ends the request without an upstream's answer. If it has not run anywhere, the caller may retry after
     * `retryAfter`, or after a short default.
     */
    auto giveUp(std::string_view reason, std::optional<std::chrono::milliseconds> retryAfter = std::nullopt)
        -> void;

    auto sendOwnAnswer(unsigned status, std::string_view reason,
        std::optional<std::chrono::milliseconds> retryAfter = std::nullopt) -> void;
    auto finish(RequestOutcome outcome, unsigned status, std::string_view reason) -> void;
    auto logEnd(RequestOutcome outcome, unsigned status, std::string_view reason) -> void;
    auto timeLeft() const -> Duration { return deadline_ - steadyNow(); }
    auto isHead() const -> bool { return message_.method() == boost::beast::http::verb::head; }

    Relay& relay_;
    CallerConnection* caller_;
    CallerConnection::Request message_;
    /** Holds views into `message_`. */
    platform::CallerRequest request_;
    bool keepAlive_;
    std::uint64_t number_;
    State state_ = State::Placing;

    std::shared_ptr<const RouteTable> table_;
    const Route* route_ = nullptr;
    const KeyHolder* organisation_ = nullptr;
    ServiceId service_;
    bool onEngine_ = false;

    RequestTimes times_;
    Time deadline_ {};
    Time lastByteAt_ {};

    std::optional<UpstreamEntry> upstream_;
    std::shared_ptr<UpstreamConnection> connection_;
    std::vector<UpstreamId> tried_;
    std::optional<Takeover> move_;
    /** Engines that were chosen for this request and not used, as they had left, left or rested. */
    std::vector<UpstreamProcess> withheld_;
    /** While no upstream may be sent to: when the next one may be. */
    std::optional<Time> waitUntil_;
    Time nextMoveAt_ {};
    std::uint32_t sends_ = 0;
    /** Upstreams whose answers broke off. */
    std::uint32_t brokenOff_ = 0;
    bool mayHaveRun_ = false;
    bool startReported_ = false;
    std::optional<PlacementInputs> placementInputs_;
    std::optional<Duration> directoryAge_;
    Duration longestSilence_ {};
    /** Since when the upstream is not read. */
    std::optional<Time> pausedAt_;
    /** Time without reading, which is neither the upstream's silence nor part of its time limit. */
    Duration pausedTime_ {};
    std::optional<AnswerEnd> answerEnd_;
    /** Why the answer of this attempt counts as broken, for the log. */
    std::string answerFault_;

    AnswerIntake answer_;
};

} // namespace camphorshunt::router
