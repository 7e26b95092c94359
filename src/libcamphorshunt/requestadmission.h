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

/** Why a request is not run, as its caller is told. */
struct Refusal {
    std::uint16_t status {};
    std::string_view reason;
    /** Zero when another try makes no sense. */
    Duration retryAfter {};
};

/** Pauses that callers are asked for. */
inline constexpr auto shortRetryDelay = Duration(1s);
inline constexpr auto longRetryDelay = Duration(5s);

/** Weighted tokens: the unit of service. */
auto serviceUnits(const Dispatch& dispatch, double promptTokens, double outputTokens) -> double;

/** Fills in `request` from what arrived and its service's document, or says why it is refused. */
auto admitRequest(Time now, const RequestArrived& arrived, const std::shared_ptr<const Document>& document,
    ActiveRequest& request) -> std::optional<Refusal>;

/** Refuses at once what could not start before its deadline, at the pace of its organisation's queue. */
auto checkWait(Time now, const EntryService& entry, const ActiveRequest& request) -> std::optional<Refusal>;

/** What a caller whose claim was not won is told. */
auto claimAnswer(RequestId request, ClaimRefusal refusal) -> AnswerCaller;

} // namespace camphorshunt
