#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <queue>
#include <string>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "camphorshunt/document.h"
#include "camphorshunt/event.h"
#include "camphorshunt/ids.h"
#include "camphorshunt/time.h"

#include "requestlife.h"

namespace camphorshunt {

/** A caller's request from arrival until its last attempt has ended. */
struct ActiveRequest {
    RequestId id;
    std::shared_ptr<const Document> document;
    Operation operation;
    OrganisationId organisation;
    Time arrived;
    Time deadline;
    double estimatedUnits {};
    bool keyed {};
    RequestLife life { false };

    /** Number of attempts started, which is also the number of the current one. */
    std::uint32_t attempts {};
    GrantId grant;
    UpstreamId upstream;
    /** The upstream that runs the stream; set when an attempt ends that has passed events to the caller. */
    UpstreamId streamedFrom;
    std::uint32_t eventsPassed {};
    bool headPassed {};
    /** The caller has its final answer or has disconnected; only the end of the attempt is pending. */
    bool detached {};
    bool cancelling {};
};

/** All active requests of this router, by id and in the order of their deadlines. */
class RequestTable {
public:
    auto add(ActiveRequest request) -> ActiveRequest&;
    auto find(RequestId id) -> ActiveRequest*;
    auto erase(RequestId id) -> void;
    auto size() const -> std::size_t { return requests_.size(); }
    /** Returns the requests whose deadline has passed, each only once. */
    auto takeExpired(Time now) -> std::vector<RequestId>;

private:
    struct Expiry {
        Time deadline;
        RequestId request;
        auto operator>(const Expiry& other) const -> bool { return deadline > other.deadline; }
    };

    absl::flat_hash_map<RequestId, std::unique_ptr<ActiveRequest>> requests_;
    std::priority_queue<Expiry, std::vector<Expiry>, std::greater<>> expiries_;
};

} // namespace camphorshunt
