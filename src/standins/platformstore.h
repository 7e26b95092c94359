#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "standin.h"

namespace camphorshunt::standins {

/**
 * The store of the users' platform, with keyed topics. Tests put records with `POST /admin/put` (an empty
 * value deletes the key), discard a topic's history with `POST /admin/forget`, and let the store come back
 * from a copy without a topic's last records with `POST /admin/return?lost=N`; `GET /admin/calls` returns the
 * number of calls by path.
 */
class PlatformStore : public StandInRole<PlatformStore> {
public:
    using StandInRole::StandInRole;

private:
    struct Topic {
        std::uint64_t first = 0;
        /** Each record: length of the key (1 byte), key, value. */
        std::deque<std::string> records;
        std::map<std::string, std::pair<std::string, std::uint64_t>> newest;
        /** The newest ones before `first`. */
        std::map<std::string, std::pair<std::string, std::uint64_t>> newestForgotten;

        auto end() const -> std::uint64_t { return first + records.size(); }
    };
    struct Waiting {
        std::string topic;
        std::uint64_t from = 0;
        Exchange exchange;
        bool answered = false;
    };

    auto kindOf(const Request& request) const -> RequestKind override;
    auto serve(const Request& request, const Exchange& exchange, const Fault& fault) -> void override;
    /** Comes back from a copy that lacks the topic's last records. */
    auto returnFromCopy(const std::string& topic, std::uint64_t lost) -> void;
    auto eraHeader() const -> net::HttpHeaders { return { { "Store-Era", std::to_string(era_) } }; }
    static auto applyRecord(Topic& topic, const std::string& record, std::uint64_t offset) -> void;
    auto put(const std::string& topic, const std::string& key, const std::string& value) -> void;
    auto append(const Request& request, const Exchange& exchange, const Fault& fault) -> void;
    auto read(const Request& request, const Exchange& exchange) -> void;
    auto newest(const Request& request, const Exchange& exchange) -> void;
    auto respondRead(Waiting& waiting) -> void;

    std::map<std::string, Topic> topics_;
    std::uint64_t era_ = 1;
    std::map<std::string, std::uint64_t> calls_;
    std::vector<std::shared_ptr<Waiting>> waiting_;
};

} // namespace camphorshunt::standins
