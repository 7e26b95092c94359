#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string_view>

#include "camphorshunt/document.h"
#include "camphorshunt/event.h"
#include "camphorshunt/time.h"

#include "claimsmanager.h"
#include "entryservice.h"
#include "requesttable.h"

namespace camphorshunt {

/** Reason why a request is not run, as sent to its caller. */
struct Refusal {
    std::uint16_t status {};
    std::string_view reason;
    /** Zero when a retry makes no sense. */
    Duration retryAfter {};
};

/** Delays that callers are asked to wait before they retry. */
inline constexpr auto shortRetryDelay = Duration(1s);
inline constexpr auto longRetryDelay = Duration(5s);

/** Returns the weighted number of tokens, the unit of service. */
auto serviceUnits(const Dispatch& dispatch, double promptTokens, double outputTokens) -> double;

/** Fills in `request` from `arrived` and the service's document, or returns why it is refused. */
auto admitRequest(Time now, const RequestArrived& arrived, const std::shared_ptr<const Document>& document,
    ActiveRequest& request) -> std::optional<Refusal>;

/** Immediately refuses a request that can't start in time at the pace of its organisation's queue. */
auto checkWait(Time now, const EntryService& entry, const ActiveRequest& request) -> std::optional<Refusal>;

/** Returns the answer to a caller whose claim was refused. */
auto claimAnswer(RequestId request, ClaimRefusal refusal) -> AnswerCaller;

} // namespace camphorshunt
