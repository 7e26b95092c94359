#include "framereader.h"

#include <string>

#include "framecodec.h"

namespace camphorshunt {

auto appendFrame(std::vector<std::uint8_t>& bytes, std::span<const std::uint8_t> body) -> void
{
    const auto length = static_cast<std::uint32_t>(body.size());
    for (auto shift = 0U; shift < 32U; shift += 8U)
        bytes.push_back(static_cast<std::uint8_t>(length >> shift));
    bytes.insert(bytes.end(), body.begin(), body.end());
}

auto FrameReader::append(std::span<const std::uint8_t> bytes) -> void
{
    buffer_.erase(buffer_.begin(), buffer_.begin() + static_cast<std::ptrdiff_t>(consumed_));
    consumed_ = 0;
    buffer_.insert(buffer_.end(), bytes.begin(), bytes.end());
}

auto FrameReader::next() -> Result<std::optional<std::span<const std::uint8_t>>>
{
    const auto left = std::span<const std::uint8_t>(buffer_).subspan(consumed_);
    if (left.size() < frameHeaderBytes)
        return std::nullopt;
    auto length = std::size_t { 0 };
    for (auto index = std::size_t { 0 }; index < frameHeaderBytes; ++index)
        length |= std::size_t { left[index] } << (8 * index);
    if (length > maxFrameBytes)
        return failure(Error::Code::Malformed, "frame",
            "body length in bytes above the limit: " + std::to_string(length));
    if (left.size() < frameHeaderBytes + length)
        return std::nullopt;
    consumed_ += frameHeaderBytes + length;
    return left.subspan(frameHeaderBytes, length);
}

} // namespace camphorshunt
