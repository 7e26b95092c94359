#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "requestrecord.h"

namespace camphorshunt::router {

/** Counts how requests ended, by organisation, as the log may leave out lines of single requests. */
class RequestTotals {
public:
    using Counts = std::array<std::uint64_t, requestOutcomes.size()>;
    using Totals = std::map<std::string, Counts, std::less<>>;

    auto record(std::string_view organisation, RequestOutcome outcome) -> void;
    /** Requests since the last `take`. */
    auto requests() const -> std::uint64_t { return requests_; }
    auto take() -> Totals;

private:
    Totals totals_;
    std::uint64_t requests_ = 0;
};

} // namespace camphorshunt::router
