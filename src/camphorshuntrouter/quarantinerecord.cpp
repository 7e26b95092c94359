#include "quarantinerecord.h"

#include <algorithm>

#include "requestrecord.h"

#include "platform/text.h"

namespace camphorshunt::router {

namespace {

using std::chrono::milliseconds;

/** A day: no quarantine is longer. */
constexpr auto maxLength = milliseconds(86400000);

} // namespace

auto encodeQuarantineRecord(milliseconds now, const PeerQuarantine& quarantine) -> QuarantineRecord
{
    auto record = QuarantineRecord {};
    record.key = std::to_string(quarantine.service.value) + '.' + partName(quarantine.part);
    if (!quarantine.released) {
        record.value = std::to_string((now + quarantine.left).count()) + ' '
            + std::to_string(quarantine.length.count());
    }
    return record;
}

auto decodeQuarantineRecord(milliseconds now, std::string_view key, std::string_view value)
    -> std::optional<PeerQuarantine>
{
    constexpr auto hexadecimal = 16;
    const auto service = platform::parseNumber<std::uint64_t>(platform::takeField(key, '.'));
    const auto part = platform::parseNumber<std::uint64_t>(key, hexadecimal);
    const auto until = platform::parseNumber<std::int64_t>(platform::takeField(value, ' '));
    const auto length = platform::parseNumber<std::int64_t>(value);
    if (!service || !part || !until || !length || *until < 0 || *length <= 0 || *length > maxLength.count())
        return std::nullopt;
    const auto left = std::clamp(*until - now.count(), std::int64_t { 0 }, *length);
    return PeerQuarantine { { *service }, *part, milliseconds(left), milliseconds(*length) };
}

} // namespace camphorshunt::router
