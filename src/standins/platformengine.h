#pragma once

#include <chrono>
#include <map>
#include <memory>
#include <string>

#include <boost/json/array.hpp>

#include "standin.h"

namespace camphorshunt::standins {

/**
 * An upstream with the protocol of the users' platform: a model engine for requests that carry token
 * counts, a plain service for others. `GET /admin/runs` lists the requests that it accepted,
 * `GET /admin/arrivals` all that reached it, with the times of arrival and answer. While it leaves, all its
 * answers say so.
 */
class PlatformEngine : public StandInRole<PlatformEngine> {
public:
    using StandInRole::StandInRole;

private:
    struct Stream {
        Request request;
        Exchange exchange;
        Fault fault;
        std::uint64_t next = 1;
        std::uint64_t last = 0;
        bool ended = false;
    };

    auto recordArrival(const Request& request, const Exchange& exchange) -> void override;
    auto serve(const Request& request, const Exchange& exchange, const Fault& fault) -> void override;
    auto refuse(const Exchange& exchange) -> void override;
    auto headers(const Request& request, const Fault& fault) const -> net::HttpHeaders;
    /** Completes the headers of an answer that is about to be sent, and records its time. */
    auto beginAnswer(const Exchange& exchange, std::uint16_t status, net::HttpHeaders headers)
        -> net::HttpHeaders;
    auto refuseWith(const Exchange& exchange, std::uint16_t status, net::HttpHeaders headers) -> void;
    /** Milliseconds since the start of the process. */
    auto runningTime() const -> std::int64_t;
    auto execute(const Request& request, const Exchange& exchange, const Fault& fault) -> void;
    auto answer(const Request& request, const Exchange& exchange, const Fault& fault) -> void;
    auto sendEvent(const std::shared_ptr<Stream>& stream) -> void;

    boost::json::array runs_;
    std::uint64_t working_ = 0;
    std::chrono::steady_clock::time_point startedAt_ = std::chrono::steady_clock::now();
    boost::json::array arrivals_;
    /** Indices in `arrivals_` of the requests that are not answered yet. */
    std::map<const net::HttpExchange*, std::size_t> unanswered_;
};

} // namespace camphorshunt::standins
