#pragma once

#include "camphorshunt/upstreamkind.h"

namespace camphorshunt {

/** A model engine that streams tokens as server-sent events and can resume and cancel streams. */
class ModelEngine final : public UpstreamKind {
public:
    auto target(std::string_view operation) const -> std::string override;
    auto headers(const UpstreamAttempt& attempt) const -> Headers override;
    auto streams() const -> bool override { return true; }
    auto reader(std::uint32_t resumeAfter) const -> std::unique_ptr<AnswerReader> override;
    auto cancelTarget() const -> std::string override { return "/cancel"; }
};

} // namespace camphorshunt
