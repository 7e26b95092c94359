#pragma once

#include <deque>
#include <list>
#include <map>
#include <string>

#include "enginestream.h"
#include "standin.h"

namespace camphorshunt::standins {

/**
 * A model engine. Up to `slots` streams run in a batch, and each produces one token per token time;
 * further requests wait in order of arrival. A stream whose reader disconnects keeps running for the
 * resume window and can be resumed by a later attempt.
 */
class EngineStandIn : public StandInRole<EngineStandIn> {
public:
    using StandInRole::StandInRole;

private:
    using StreamPtr = std::shared_ptr<EngineStream>;

    struct Load {
        std::chrono::steady_clock::time_point at;
        std::size_t running {};
        std::size_t waiting {};
    };

    auto kindOf(const Request& request) const -> RequestKind override;
    auto serve(const Request& request, const Exchange& exchange, const Fault& fault) -> void override;
    auto generate(const Request& request, const Exchange& exchange, const Fault& fault) -> void;
    auto resume(const Request& request, const Exchange& exchange, const Fault& fault) -> void;
    auto cancel(const Request& request, const Exchange& exchange) -> void;
    auto attach(const StreamPtr& stream, const Request& request, const Exchange& exchange, const Fault& fault)
        -> void;
    auto handleReaderLost(const StreamPtr& stream) -> void;
    auto startWaiting() -> void;
    auto scheduleToken(const StreamPtr& stream) -> void;
    auto produceToken(const StreamPtr& stream) -> void;
    auto endStream(const StreamPtr& stream, bool complete) -> void;
    auto removeStream(const StreamPtr& stream) -> void;
    auto isFenced(const Request& request) -> bool;
    auto promptTimeOf(const Request& request, std::uint64_t tokens) -> Milliseconds;
    auto recordLoad() -> void;
    auto reportLoad(net::HttpExchange& exchange) -> void;

    /** By attempt id; a resumed stream has one entry for each of its attempts. */
    std::map<std::string, StreamPtr> streams_;
    /** Streams that have started to run since this process started. */
    std::uint64_t started_ {};
    std::deque<StreamPtr> waiting_;
    std::list<std::size_t> cachedPrefixes_;
    std::deque<Load> loads_;
    std::size_t running_ = 0;
    std::uint64_t streamCount_ = 0;
    std::uint64_t maxFencingToken_ = 0;
};

} // namespace camphorshunt::standins
