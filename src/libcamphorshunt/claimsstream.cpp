#include "claimsstream.h"

#include <algorithm>
#include <utility>

namespace camphorshunt {

namespace {

/** After this time without a successful read, newer records may follow the known tail. */
constexpr Duration staleAfter = 2s;
/** A claim that is undecided for longer than this is refused. */
constexpr Duration attemptTimeout = 3s;
/** The outcome of an append without an answer for longer than this is taken as unknown. */
constexpr Duration appendTimeout = 10s;
constexpr Duration minBackoff = 50ms;
constexpr std::uint32_t maxBackoffDoublings = 5;
/** From this number of consecutive append failures on, new claims are refused until the backoff ends. */
constexpr std::uint32_t failuresBeforeRefusal = 2;
/** Maximum number of claims, of abandons and of settles in one record. */
constexpr std::size_t maxPerRecord = 256;

auto firstNonces(const std::set<Nonce>& nonces) -> std::vector<Nonce>
{
    const auto count = static_cast<std::ptrdiff_t>(std::min(nonces.size(), maxPerRecord));
    return { nonces.begin(), std::next(nonces.begin(), count) };
}

auto eraseAll(std::set<Nonce>& from, const std::vector<Nonce>& nonces) -> void
{
    for (const auto nonce : nonces)
        from.erase(nonce);
}

} // namespace

ClaimsStream::ClaimsStream(std::string name, RouterId router, Incarnation incarnation)
    : name_(std::move(name))
    , router_(router)
    , incarnation_(incarnation)
{
}

auto ClaimsStream::beginClaim(Time now, RequestId request, const ClaimKey& key, Nonce nonce) -> void
{
    attempts_.insert_or_assign(request, Attempt { .key = key, .nonce = nonce, .begun = now });
}

auto ClaimsStream::abandon(RequestId request) -> bool
{
    std::erase_if(decisions_, [&](const auto& decision) { return decision.request == request; });
    if (const auto held = held_.extract(request)) {
        abandons_.insert(held.mapped().nonce);
        return true;
    }
    const auto attempt = attempts_.extract(request);
    if (!attempt)
        return false;
    abandonIfMaybeLanded(request, attempt.mapped());
    return true;
}

auto ClaimsStream::settle(RequestId request) -> bool
{
    const auto held = held_.extract(request);
    if (held)
        settles_.insert(held.mapped().nonce);
    return static_cast<bool>(held);
}

auto ClaimsStream::apply(Time now, std::int64_t nowMs, const LogRead& read) -> bool
{
    if (read.first > fold_.next())
        refuseMaybeLanded();
    fold_.apply(read, nowMs);
    first_ = read.first;
    end_ = read.end;
    lastRead_ = now;
    atTail_ = fold_.next() >= read.end;
    decideAttempts();
    return !read.records.empty() && read.records.front().offset > fold_.next();
}

auto ClaimsStream::refuseMaybeLanded() -> void
{
    // Their records may be among the missed ones, in which case no later record can decide them.
    for (auto attempt = attempts_.begin(); attempt != attempts_.end();) {
        if (!attempt->second.maybeLanded && !isInFlight(attempt->first)) {
            ++attempt;
            continue;
        }
        refuse(attempt->first, ClaimRefusal::Unavailable);
        abandonIfMaybeLanded(attempt->first, attempt->second);
        attempt = attempts_.erase(attempt);
    }
}

auto ClaimsStream::isInFlight(RequestId request) const -> bool
{
    return inFlight_
        && std::find(inFlight_->requests.begin(), inFlight_->requests.end(), request)
        != inFlight_->requests.end();
}

auto ClaimsStream::abandonIfMaybeLanded(RequestId request, const Attempt& attempt) -> void
{
    if (attempt.maybeLanded || isInFlight(request))
        abandons_.insert(attempt.nonce);
}

auto ClaimsStream::refuse(RequestId request, ClaimRefusal refusal) -> void
{
    decisions_.push_back({ .request = request, .won = false, .refusal = refusal });
}

auto ClaimsStream::decideAttempts() -> void
{
    for (auto attempt = attempts_.begin(); attempt != attempts_.end();) {
        const auto state = fold_.claimState(idOfNonce(attempt->second.nonce));
        if (!state) {
            ++attempt;
            continue;
        }
        decideAttempt(attempt->first, attempt->second, *state);
        attempt = attempts_.erase(attempt);
    }
}

auto ClaimsStream::decideAttempt(RequestId request, const Attempt& attempt, ClaimState state) -> void
{
    if (state == ClaimState::Won && fold_.covers(attempt.key.issuedMs())) {
        held_.insert_or_assign(request, Held { attempt.key, attempt.nonce });
        decisions_.push_back({ .request = request, .won = true, .refusal = {} });
        return;
    }
    if (state == ClaimState::Won) {
        abandons_.insert(attempt.nonce);
        return refuse(request, ClaimRefusal::KeyTooOld);
    }
    const auto key = fold_.keyState(attempt.key);
    refuse(request,
        key == KeyState::Done          ? ClaimRefusal::Done
            : key == KeyState::Running ? ClaimRefusal::Running
                                       : ClaimRefusal::Unavailable);
}

auto ClaimsStream::appendEnded(Time now, const AppendEnded& ended) -> bool
{
    if (!inFlight_ || inFlight_->append != ended.append)
        return false;
    const auto batch = *std::exchange(inFlight_, std::nullopt);
    if (ended.outcome == AppendOutcome::Landed) {
        eraseAll(abandons_, batch.abandons);
        eraseAll(settles_, batch.settles);
        failures_ = 0;
    } else {
        recordFailure(now);
    }
    for (const auto request : batch.requests) {
        const auto attempt = attempts_.find(request);
        if (attempt == attempts_.end())
            continue;
        attempt->second.maybeLanded = attempt->second.maybeLanded || ended.outcome != AppendOutcome::Refused;
        attempt->second.queued = ended.outcome != AppendOutcome::Landed;
    }
    return true;
}

auto ClaimsStream::recordFailure(Time now) -> void
{
    blockedUntil_ = now + minBackoff * (1U << std::min(failures_, maxBackoffDoublings));
    ++failures_;
}

auto ClaimsStream::adopt(ClaimsFold fold) -> bool
{
    if (fold.next() < first_ || fold.coveredSinceMs() >= fold_.coveredSinceMs())
        return false;
    fold_ = std::move(fold);
    atTail_ = fold_.next() >= end_;
    decideAttempts();
    return true;
}

auto ClaimsStream::evictBefore(std::int64_t issuedMs) -> void
{
    fold_.evictBefore(issuedMs);
    std::erase_if(held_, [&](const auto& held) { return held.second.key.issuedMs() < issuedMs; });
}

auto ClaimsStream::expireAttempts(Time now) -> void
{
    if (inFlight_ && now - inFlight_->sentAt > appendTimeout)
        appendEnded(now, AppendEnded { inFlight_->append, AppendOutcome::Unknown, {} });
    for (auto attempt = attempts_.begin(); attempt != attempts_.end();) {
        if (now - attempt->second.begun <= attemptTimeout) {
            ++attempt;
            continue;
        }
        refuse(attempt->first, ClaimRefusal::Unavailable);
        abandonIfMaybeLanded(attempt->first, attempt->second);
        attempt = attempts_.erase(attempt);
    }
}

auto ClaimsStream::wantsAppend(Time now) const -> bool
{
    if (inFlight_ || now < blockedUntil_)
        return false;
    return hasUnwritten() || std::any_of(attempts_.begin(), attempts_.end(), [](const auto& attempt) {
        return attempt.second.queued;
    });
}

auto ClaimsStream::takeAppend(Time now, std::int64_t nowMs, AppendId append) -> AppendLog
{
    auto record = ClaimsRecord { .router = router_,
        .incarnation = incarnation_,
        .atMs = nowMs,
        .seen = fold_.next(),
        .abandons = firstNonces(abandons_),
        .claims = {},
        .settles = firstNonces(settles_) };
    auto batch = InFlight { .append = append,
        .sentAt = now,
        .requests = {},
        .abandons = record.abandons,
        .settles = record.settles };
    for (auto& [request, attempt] : attempts_) {
        if (!attempt.queued || record.claims.size() == maxPerRecord)
            continue;
        attempt.queued = false;
        record.claims.push_back({ attempt.key, attempt.nonce });
        batch.requests.push_back(request);
    }
    inFlight_ = std::move(batch);
    return AppendLog { append, name_, encodeRecord(record) };
}

auto ClaimsStream::isUsable(Time now) const -> bool
{
    const auto isBlocked = failures_ >= failuresBeforeRefusal && now < blockedUntil_;
    return atTail_ && now - lastRead_ <= staleAfter && !isBlocked;
}

} // namespace camphorshunt
