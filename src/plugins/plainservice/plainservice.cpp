#include "plainservice.h"

#include "camphorshunt/registry.h"

namespace camphorshunt {

namespace {

const auto registered = Registry<UpstreamKindFactory>::instance().add(
    "plain-service", [] { return std::make_unique<PlainService>(); });

/** Passes bytes through unchanged. Only HTTP framing shows whether the answer is complete. */
class PlainReader final : public AnswerReader {
public:
    auto consume(std::string_view bytes) -> std::string override { return std::string(bytes); }
    auto isComplete() const -> bool override { return false; }
    auto isMalformed() const -> bool override { return false; }
    auto eventsPassed() const -> std::uint32_t override { return 0; }
    auto promptTokens() const -> std::uint32_t override { return 0; }
    auto outputTokens() const -> std::uint32_t override { return 0; }
};

} // namespace

auto PlainService::target(std::string_view operation) const -> std::string
{
    return "/" + std::string(operation);
}

auto PlainService::headers(const UpstreamAttempt& attempt) const -> Headers
{
    auto headers = Headers {};
    if (attempt.fencingNumber != 0)
        headers.emplace_back("Fencing-Token", std::to_string(attempt.fencingNumber));
    if (!attempt.idempotencyKey.empty())
        headers.emplace_back("Idempotency-Key", attempt.idempotencyKey);
    return headers;
}

auto PlainService::reader(std::uint32_t resumeAfter) const -> std::unique_ptr<AnswerReader>
{
    return std::make_unique<PlainReader>();
}

} // namespace camphorshunt
