#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

#include "camphorshunt/result.h"

namespace camphorshunt {

/** Length of the little-endian number before each frame's body, in bytes. */
inline constexpr auto frameHeaderBytes = std::size_t { 4 };

/** Appends a frame's head and body. */
auto appendFrame(std::vector<std::uint8_t>& bytes, std::span<const std::uint8_t> body) -> void;

/** Splits a byte stream into frames; holds no more than what has come of one frame. */
class FrameReader {
public:
    auto append(std::span<const std::uint8_t> bytes) -> void;

    /**
     * The next whole body, or nothing until more bytes come. The view lasts until the next call.
     * Malformed if a frame says that it is longer than `maxFrameBytes`.
     */
    auto next() -> Result<std::optional<std::span<const std::uint8_t>>>;

private:
    std::vector<std::uint8_t> buffer_;
    std::size_t consumed_ {};
};

} // namespace camphorshunt
