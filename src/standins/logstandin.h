#pragma once

#include <deque>
#include <functional>
#include <map>
#include <string>

#include "standin.h"

namespace camphorshunt::standins {

/** A log service: streams of records with offsets from 0, retention, an append rate limit and long polls. */
class LogStandIn : public StandInRole<LogStandIn> {
public:
    using StandInRole::StandInRole;

private:
    struct Stream {
        std::uint64_t first = 0;
        std::deque<std::string> records;

        auto end() const -> std::uint64_t { return first + records.size(); }
    };

    struct Read {
        std::string stream;
        std::uint64_t from {};
        std::uint64_t max {};
        Exchange exchange;
        Fault fault;
        std::uint64_t number {};
    };

    auto kindOf(const Request& request) const -> RequestKind override;
    auto serve(const Request& request, const Exchange& exchange, const Fault& fault) -> void override;
    auto append(const std::string& name, const Request& request, const Exchange& exchange, const Fault& fault)
        -> void;
    auto store(const std::string& name, const std::string& record) -> std::uint64_t;
    auto trim(const Request& request, const Exchange& exchange) -> void;
    auto read(const std::string& name, const Request& request, const Exchange& exchange, const Fault& fault)
        -> void;
    auto answer(const Read& read) -> void;
    auto answerWaiting(const std::function<bool(const Read&)>& isDue) -> void;
    auto tryAcquireAppend() -> bool;

    std::map<std::string, Stream> streams_;
    std::deque<Read> waiting_;
    std::uint64_t reads_ = 0;
    std::chrono::steady_clock::time_point secondStart_;
    std::size_t appendsThisSecond_ = 0;
};

} // namespace camphorshunt::standins
