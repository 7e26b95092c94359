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

auto partNames(const PeerQuarantine& quarantine) -> std::string
{
    auto names = partName(quarantine.part);
    for (const auto part : quarantine.with)
        names += '+' + partName(part);
    return names;
}

auto encodeQuarantineRecord(milliseconds now, const PeerQuarantine& quarantine) -> QuarantineRecord
{
    auto record = QuarantineRecord {};
    record.key = std::to_string(quarantine.service.value) + '.' + partNames(quarantine);
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
    auto parts = std::vector<std::uint64_t> {};
    do {
        const auto part = platform::parseNumber<std::uint64_t>(platform::takeField(key, '+'), hexadecimal);
        if (!part)
            return std::nullopt;
        parts.push_back(*part);
    } while (!key.empty());
    const auto until = platform::parseNumber<std::int64_t>(platform::takeField(value, ' '));
    const auto length = platform::parseNumber<std::int64_t>(value);
    if (!service || !until || !length || *until < 0 || *length <= 0 || *length > maxLength.count())
        return std::nullopt;
    const auto left = std::clamp(*until - now.count(), std::int64_t { 0 }, *length);
    return PeerQuarantine { { *service }, parts.front(), milliseconds(left), milliseconds(*length), false,
        { parts.begin() + 1, parts.end() } };
}

} // namespace camphorshunt::router
