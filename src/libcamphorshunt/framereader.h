#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

#include "camphorshunt/result.h"

namespace camphorshunt {

/** Size in bytes of a frame's header: the length of its body, little-endian. */
inline constexpr auto frameHeaderBytes = std::size_t { 4 };

/** Appends a frame, header and body, to `bytes`. */
auto appendFrame(std::vector<std::uint8_t>& bytes, std::span<const std::uint8_t> body) -> void;

/**
 * Splits a byte stream into frames. If `next` is called until it returns nothing before each `append`,
 * no more than one incomplete frame stays buffered.
 */
class FrameReader {
public:
    auto append(std::span<const std::uint8_t> bytes) -> void;

    /**
     * The body of the next complete frame, or nothing if more bytes are needed. The view is valid until
     * the next `append`. Fails with Malformed if a header gives a length above `maxFrameBytes`.
     */
    auto next() -> Result<std::optional<std::span<const std::uint8_t>>>;

private:
    std::vector<std::uint8_t> buffer_;
    std::size_t consumed_ {};
};

} // namespace camphorshunt
