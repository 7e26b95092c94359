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
 * value deletes the key) and discard a topic's history with `POST /admin/forget`; `GET /admin/calls` returns
 * the number of calls by path.
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
    auto put(const std::string& topic, const std::string& key, const std::string& value) -> void;
    auto append(const Request& request, const Exchange& exchange, const Fault& fault) -> void;
    auto read(const Request& request, const Exchange& exchange) -> void;
    auto newest(const Request& request, const Exchange& exchange) -> void;
    auto respondRead(Waiting& waiting) -> void;

    std::map<std::string, Topic> topics_;
    std::map<std::string, std::uint64_t> calls_;
    std::vector<std::shared_ptr<Waiting>> waiting_;
};

} // namespace camphorshunt::standins
