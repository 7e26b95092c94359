#include "claimsrecord.h"

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include "logfields.h"

namespace camphorshunt {

namespace {

namespace json = boost::json;

/** Hex digits of one half of a key. */
constexpr std::size_t halfKeyDigits = 16;

auto nonceList(const std::vector<Nonce>& nonces) -> json::array
{
    auto list = json::array();
    for (const auto nonce : nonces)
        list.emplace_back(hexText(nonce.value));
    return list;
}

auto decodeNonces(LogFields& fields, std::string_view field) -> std::vector<Nonce>
{
    auto nonces = std::vector<Nonce>();
    fields.forEachText(field, [&](std::string_view text) {
        const auto value = parseHex(text);
        if (!value)
            return fields.fail(field, "must hold 16 hex digits each");
        nonces.push_back(Nonce { *value });
    });
    return nonces;
}

auto decodeClaim(LogFields& fields) -> NewClaim
{
    auto claim = NewClaim();
    claim.key.service = ServiceId { fields.hex("service") };
    claim.key.organisation = OrganisationId { fields.hex("org") };
    claim.nonce = Nonce { fields.hex("nonce") };
    const auto key = fields.text("key");
    const auto high = parseHex(std::string_view(key).substr(0, halfKeyDigits));
    const auto low
        = key.size() < halfKeyDigits ? std::nullopt : parseHex(std::string_view(key).substr(halfKeyDigits));
    if (!high || !low)
        fields.fail("key", "must be 32 hex digits");
    claim.key.keyHigh = high.value_or(0);
    claim.key.keyLow = low.value_or(0);
    return claim;
}

} // namespace

auto keyText(const ClaimKey& key) -> std::string { return hexText(key.keyHigh) + hexText(key.keyLow); }

auto encodeRecord(const ClaimsRecord& record) -> std::string
{
    auto claims = json::array();
    for (const auto& claim : record.claims)
        claims.push_back({ { "service", hexText(claim.key.service.value) },
            { "org", hexText(claim.key.organisation.value) }, { "key", keyText(claim.key) },
            { "nonce", hexText(claim.nonce.value) } });
    return json::serialize(json::object { { "type", "claims" }, { "router", hexText(record.router.value) },
        { "incarnation", hexText(record.incarnation.value) }, { "atMs", record.atMs },
        { "seen", record.seen.value }, { "abandons", nonceList(record.abandons) },
        { "claims", std::move(claims) }, { "settles", nonceList(record.settles) } });
}

auto decodeClaimsRecord(std::string_view text) -> Result<ClaimsRecord>
{
    auto error = json::error_code();
    const auto value = json::parse(text, error);
    if (error)
        return failure(Error::Code::Malformed, "record", error.message());
    auto fields = LogFields(value);
    if (fields.text("type") != "claims")
        fields.fail("type", "must be claims");
    auto record = ClaimsRecord { .router = RouterId { fields.hex("router") },
        .incarnation = Incarnation { fields.hex("incarnation") },
        .atMs = static_cast<std::int64_t>(fields.number("atMs")),
        .seen = Offset { fields.number("seen") },
        .abandons = decodeNonces(fields, "abandons"),
        .claims = {},
        .settles = decodeNonces(fields, "settles") };
    fields.forEach("claims", [&](LogFields& claim) { record.claims.push_back(decodeClaim(claim)); });
    if (fields.error())
        return *fields.error();
    return record;
}

} // namespace camphorshunt
