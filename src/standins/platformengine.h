#pragma once

#include <map>
#include <memory>
#include <string>

#include <boost/json/array.hpp>

#include "standin.h"

namespace camphorshunt::standins {

/**
 * An upstream with the protocol of the users' platform: a model engine for requests that carry token
 * counts, a plain service for others. `GET /admin/runs` lists the requests that it accepted.
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

    auto serve(const Request& request, const Exchange& exchange, const Fault& fault) -> void override;
    auto refuse(const Exchange& exchange) -> void override;
    auto headers(const Request& request, const Fault& fault) const -> net::HttpHeaders;
    auto execute(const Request& request, const Exchange& exchange, const Fault& fault) -> void;
    auto answer(const Request& request, const Exchange& exchange, const Fault& fault) -> void;
    auto sendEvent(const std::shared_ptr<Stream>& stream) -> void;

    boost::json::array runs_;
    std::uint64_t working_ = 0;
};

} // namespace camphorshunt::standins
