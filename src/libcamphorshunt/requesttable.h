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

    /** Number of attempts begun; the present one has this number. */
    std::uint32_t attempts {};
    GrantId grant;
    UpstreamId upstream;
    /** The upstream that knows the stream, when some of it has gone to the caller. */
    UpstreamId streamedFrom;
    std::uint32_t eventsPassed {};
    bool headPassed {};
    /** The caller has its final answer, or is gone; only the attempt's end is awaited. */
    bool detached {};
    bool cancelling {};
};

/** All active requests of this router, with their deadlines in order. */
class RequestTable {
public:
    auto add(ActiveRequest request) -> ActiveRequest&;
    auto find(RequestId id) -> ActiveRequest*;
    auto erase(RequestId id) -> void;
    auto size() const -> std::size_t { return requests_.size(); }
    /** Requests whose deadline has passed and that were not reported before. */
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
