#include "claimsfold.h"

#include <algorithm>
#include <vector>

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include "logfields.h"

namespace camphorshunt {

namespace {

namespace json = boost::json;

auto idFields(const ClaimId& id) -> json::object
{
    return { { "router", hexText(id.router.value) }, { "incarnation", hexText(id.incarnation.value) },
        { "nonce", hexText(id.nonce.value) } };
}

auto readId(LogFields& fields) -> ClaimId
{
    return { RouterId { fields.hex("router") }, Incarnation { fields.hex("incarnation") },
        Nonce { fields.hex("nonce") } };
}

/** Times may be negative (no bound), so they are serialised as text. */
auto readTime(LogFields& fields, std::string_view field) -> std::int64_t
{
    return static_cast<std::int64_t>(fields.hex(field));
}

auto timeText(std::int64_t time) -> std::string { return hexText(static_cast<std::uint64_t>(time)); }

} // namespace

auto ClaimsFold::apply(const LogRead& read, std::int64_t nowMs) -> bool
{
    const auto missed = read.first > next_;
    if (missed) {
        next_ = read.first;
        gaplessSince_ = read.first;
        readSinceMs_ = nowMs;
    }
    for (const auto& record : read.records) {
        if (record.offset > next_)
            break;
        if (record.offset < next_)
            continue;
        next_ = Offset { record.offset.value + 1 };
        if (const auto decoded = decodeClaimsRecord(record.body))
            applyRecord(record.offset, decoded.value());
    }
    return !missed;
}

auto ClaimsFold::applyRecord(Offset offset, const ClaimsRecord& record) -> void
{
    if (record.seen >= gaplessSince_ && record.seen <= offset)
        readSinceMs_ = std::min(readSinceMs_, record.atMs);
    const auto idOfNonce = [&](Nonce nonce) { return ClaimId { record.router, record.incarnation, nonce }; };
    for (const auto nonce : record.abandons)
        applyAbandon(idOfNonce(nonce), record.atMs);
    for (const auto& claim : record.claims)
        applyClaim(idOfNonce(claim.nonce), claim.key);
    for (const auto nonce : record.settles)
        applySettle(idOfNonce(nonce));
}

auto ClaimsFold::applyClaim(const ClaimId& id, const ClaimKey& key) -> void
{
    const auto [claim, isNew] = claims_.try_emplace(id, Claim { key, ClaimState::Lost });
    if (!isNew)
        return;
    if (abandoned_.erase(id) > 0) {
        claim->second.state = ClaimState::Void;
        return;
    }
    if (holders_.try_emplace(key, id).second)
        claim->second.state = ClaimState::Won;
}

auto ClaimsFold::applyAbandon(const ClaimId& id, std::int64_t atMs) -> void
{
    const auto claim = claims_.find(id);
    if (claim == claims_.end()) {
        abandoned_.try_emplace(id, atMs);
        return;
    }
    if (claim->second.state != ClaimState::Won)
        return;
    claim->second.state = ClaimState::Void;
    holders_.erase(claim->second.key);
}

auto ClaimsFold::applySettle(const ClaimId& id) -> void
{
    const auto claim = claims_.find(id);
    if (claim != claims_.end() && claim->second.state == ClaimState::Won)
        claim->second.state = ClaimState::Done;
}

auto ClaimsFold::keyState(const ClaimKey& key) const -> KeyState
{
    const auto holder = holders_.find(key);
    if (holder == holders_.end())
        return KeyState::Free;
    return claimState(holder->second) == ClaimState::Done ? KeyState::Done : KeyState::Running;
}

auto ClaimsFold::claimState(const ClaimId& id) const -> std::optional<ClaimState>
{
    const auto claim = claims_.find(id);
    return claim == claims_.end() ? std::nullopt : std::optional(claim->second.state);
}

auto ClaimsFold::covers(std::int64_t issuedMs) const -> bool
{
    return issuedMs > coveredSinceMs() + maxFutureMs + routerSkewMs;
}

auto ClaimsFold::evictBefore(std::int64_t issuedMs) -> void
{
    if (issuedMs <= evictedBeforeMs_)
        return;
    evictedBeforeMs_ = issuedMs;
    absl::erase_if(claims_, [&](const auto& claim) { return claim.second.key.issuedMs() < issuedMs; });
    absl::erase_if(holders_, [&](const auto& holder) { return holder.first.issuedMs() < issuedMs; });
    std::erase_if(abandoned_, [&](const auto& abandoned) { return abandoned.second < issuedMs; });
}

auto ClaimsFold::snapshot(std::size_t maxClaims) const -> std::string
{
    auto newest = std::vector<std::pair<ClaimId, Claim>>(claims_.begin(), claims_.end());
    std::sort(newest.begin(), newest.end(), [](const auto& left, const auto& right) {
        const auto leftMs = left.second.key.issuedMs();
        const auto rightMs = right.second.key.issuedMs();
        return leftMs != rightMs ? leftMs > rightMs : left.first < right.first;
    });
    auto coveredSince = coveredSinceMs();
    if (newest.size() > maxClaims) {
        coveredSince = std::max(coveredSince, newest[maxClaims].second.key.issuedMs());
        newest.resize(maxClaims);
    }
    auto claims = json::array();
    for (const auto& [id, claim] : newest) {
        auto fields = idFields(id);
        fields["service"] = hexText(claim.key.service.value);
        fields["org"] = hexText(claim.key.organisation.value);
        fields["high"] = hexText(claim.key.keyHigh);
        fields["low"] = hexText(claim.key.keyLow);
        fields["state"] = static_cast<std::uint64_t>(claim.state);
        claims.push_back(std::move(fields));
    }
    auto abandoned = json::array();
    for (const auto& [id, atMs] : abandoned_) {
        auto fields = idFields(id);
        fields["at"] = timeText(atMs);
        abandoned.push_back(std::move(fields));
    }
    return json::serialize(json::object { { "next", next_.value }, { "runStart", gaplessSince_.value },
        { "coveredSince", timeText(coveredSince) }, { "claims", std::move(claims) },
        { "abandoned", std::move(abandoned) } });
}

auto ClaimsFold::fromSnapshot(std::string_view text) -> Result<ClaimsFold>
{
    auto error = json::error_code();
    const auto value = json::parse(text, error);
    if (error)
        return failure(Error::Code::Malformed, "snapshot", error.message());
    auto fields = LogFields(value);
    auto fold = ClaimsFold();
    fold.next_ = Offset { fields.number("next") };
    fold.gaplessSince_ = Offset { fields.number("runStart") };
    fold.readSinceMs_ = readTime(fields, "coveredSince");
    // Later records can't restore the keys that the peer has evicted.
    fold.evictedBeforeMs_ = fold.readSinceMs_;
    fields.forEach("claims", [&](LogFields& row) {
        const auto id = readId(row);
        const auto key = ClaimKey { ServiceId { row.hex("service") }, OrganisationId { row.hex("org") },
            row.hex("high"), row.hex("low") };
        const auto state = row.number("state");
        if (state > static_cast<std::uint64_t>(ClaimState::Void))
            return row.fail("state", "must be from 0 to 3");
        const auto claimState = static_cast<ClaimState>(state);
        fold.claims_.insert_or_assign(id, Claim { key, claimState });
        if (claimState == ClaimState::Won || claimState == ClaimState::Done)
            fold.holders_.insert_or_assign(key, id);
    });
    fields.forEach("abandoned",
        [&](LogFields& row) { fold.abandoned_.insert_or_assign(readId(row), readTime(row, "at")); });
    if (fields.error())
        return *fields.error();
    return fold;
}

} // namespace camphorshunt
