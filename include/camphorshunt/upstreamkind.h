#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace camphorshunt {

/** Parameters of an attempt that are sent to the upstream besides the body. */
struct UpstreamAttempt {
    std::string operation;
    std::string idempotencyKey;
    /** Id of the attempt that started the stream; empty unless this attempt continues it. */
    std::string resumeOf;
    /** Number of the last event that the caller received; 0 to start from the beginning. */
    std::uint32_t resumeAfter {};
    /** Zero for none. */
    std::uint64_t fencingNumber {};
};

/** Parses one successful answer of an upstream incrementally. */
class AnswerReader {
public:
    virtual ~AnswerReader() = default;

    /** Parses more bytes and returns those to forward to the caller; for a stream, complete events only. */
    virtual auto consume(std::string_view bytes) -> std::string = 0;
    /** True once the upstream's own end marker has been read. */
    virtual auto isComplete() const -> bool = 0;
    /** True if the answer violates the upstream's protocol; nothing more may be forwarded. */
    virtual auto isMalformed() const -> bool = 0;
    /** Number of the last event returned, over all attempts; 0 for an answer without events. */
    virtual auto eventsPassed() const -> std::uint32_t = 0;
    virtual auto promptTokens() const -> std::uint32_t = 0;
    /** Tokens returned so far over all attempts, or the final count once the answer is complete. */
    virtual auto outputTokens() const -> std::uint32_t = 0;
};

/** The protocol of one kind of upstream. Plug-ins register a factory for it by name. */
class UpstreamKind {
public:
    using Headers = std::vector<std::pair<std::string, std::string>>;

    virtual ~UpstreamKind() = default;

    /** Path of the POST request that executes an operation. */
    virtual auto target(std::string_view operation) const -> std::string = 0;
    virtual auto headers(const UpstreamAttempt& attempt) const -> Headers = 0;
    /** True if successful answers are forwarded as they arrive, false if only once complete. */
    virtual auto streams() const -> bool = 0;
    virtual auto reader(std::uint32_t resumeAfter) const -> std::unique_ptr<AnswerReader> = 0;
    /** Path of the POST request that cancels an attempt; empty if the upstream does not support it. */
    virtual auto cancelTarget() const -> std::string = 0;
};

using UpstreamKindFactory = std::function<std::unique_ptr<UpstreamKind>()>;

} // namespace camphorshunt
