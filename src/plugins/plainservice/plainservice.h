#pragma once

#include "camphorshunt/upstreamkind.h"

namespace camphorshunt {

/** A plain HTTP service, whose answer is passed on in one piece. */
class PlainService final : public UpstreamKind {
public:
    auto target(std::string_view operation) const -> std::string override;
    auto headers(const UpstreamAttempt& attempt) const -> Headers override;
    auto streams() const -> bool override { return false; }
    auto reader(std::uint32_t resumeAfter) const -> std::unique_ptr<AnswerReader> override;
    auto cancelTarget() const -> std::string override { return {}; }
};

} // namespace camphorshunt
