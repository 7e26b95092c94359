#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace camphorshunt {

/** What an attempt tells an upstream besides the body. */
struct UpstreamAttempt {
    std::string operation;
    std::string idempotencyKey;
    /** Id of the attempt that began the stream; empty unless this one continues it. */
    std::string resumeOf;
    /** Last event that the caller has; 0 starts from the beginning. */
    std::uint32_t resumeAfter {};
    /** Zero for none. */
    std::uint64_t fencingNumber {};
};

/** Reads one successful answer of an upstream as its bytes come. */
class AnswerReader {
public:
    virtual ~AnswerReader() = default;

    /** Takes bytes and gives those that may pass to the caller: whole events only, for a stream. */
    virtual auto consume(std::string_view bytes) -> std::string = 0;
    /** True once the answer is whole by the upstream's own mark. */
    virtual auto isComplete() const -> bool = 0;
    /** True when the answer breaks the upstream's own rules; nothing more may pass. */
    virtual auto isMalformed() const -> bool = 0;
    /** Number of the last event given, over all attempts; 0 for an answer without events. */
    virtual auto eventsPassed() const -> std::uint32_t = 0;
    virtual auto promptTokens() const -> std::uint32_t = 0;
    /** Tokens given so far over all attempts, or the final count once the answer is whole. */
    virtual auto outputTokens() const -> std::uint32_t = 0;
};

/** How one sort of upstream is spoken to. Plug-ins register an instance's factory by name. */
class UpstreamKind {
public:
    using Headers = std::vector<std::pair<std::string, std::string>>;

    virtual ~UpstreamKind() = default;

    /** Path of the POST that runs an operation. */
    virtual auto target(std::string_view operation) const -> std::string = 0;
    virtual auto headers(const UpstreamAttempt& attempt) const -> Headers = 0;
    /** True when successful answers are passed on while they come, false when in one piece. */
    virtual auto streams() const -> bool = 0;
    virtual auto reader(std::uint32_t resumeAfter) const -> std::unique_ptr<AnswerReader> = 0;
    /** Path of the POST that cancels an attempt; empty when the upstream cannot. */
    virtual auto cancelTarget() const -> std::string = 0;
};

using UpstreamKindFactory = std::function<std::unique_ptr<UpstreamKind>()>;

} // namespace camphorshunt
