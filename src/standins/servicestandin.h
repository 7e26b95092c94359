#pragma once

#include <deque>
#include <map>
#include <string>

#include "standin.h"

namespace camphorshunt::standins {

/** A plain service that counts the executions of each idempotency key; an execution counts from its start. */
class ServiceStandIn : public StandInRole<ServiceStandIn> {
public:
    using StandInRole::StandInRole;

private:
    struct Call {
        Request request;
        Exchange exchange;
        Fault fault;
        std::uint64_t number {};
    };

    auto serve(const Request& request, const Exchange& exchange, const Fault& fault) -> void override;
    auto startWaiting() -> void;
    auto finishCall(const Call& call, std::uint64_t run) -> void;
    auto counts() const -> boost::json::value;

    std::deque<Call> waiting_;
    std::map<std::string, std::uint64_t> runs_;
    std::uint64_t total_ = 0;
    std::uint64_t calls_ = 0;
    std::size_t running_ = 0;
};

} // namespace camphorshunt::standins
