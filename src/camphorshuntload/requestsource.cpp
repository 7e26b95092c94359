#include "requestsource.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <numbers>
#include <numeric>

#include <xxhash.h>

namespace camphorshunt::load {

namespace {

auto kindShares(const PlacingPlan& plan) -> std::vector<double>
{
    auto shares = std::vector<double> {};
    for (const auto& kind : plan.kinds)
        shares.push_back(kind.share);
    return shares;
}

} // namespace

RequestSource::RequestSource(const PlacingPlan& plan)
    : plan_(plan)
    , random_(plan.seed)
{
    const auto shares = kindShares(plan);
    kinds_ = std::discrete_distribution<std::size_t>(shares.begin(), shares.end());
    for (auto rank = std::uint64_t { 1 }; rank <= plan.organisations; ++rank)
        organisationShares_.push_back(std::pow(double(rank), -plan.skew));
    const auto sum = std::accumulate(organisationShares_.begin(), organisationShares_.end(), 0.0);
    for (auto& share : organisationShares_)
        share /= sum;
}

auto RequestSource::organisationName(std::size_t organisation) const -> std::string
{
    return "organisation-" + std::to_string(organisation + 1);
}

auto RequestSource::rateOf(Time now, std::size_t organisation) const -> double
{
    const auto at = now.time_since_epoch();
    auto rate = plan_.rate * organisationShares_[organisation];
    const auto periods = std::chrono::duration<double>(at) / std::chrono::duration<double>(plan_.swingPeriod);
    rate *= 1.0 + plan_.swing * std::sin(2.0 * std::numbers::pi * periods);
    for (const auto& surge : plan_.surges) {
        const auto affected = surge.organisations == 0 || organisation < surge.organisations;
        if (affected && at >= surge.from && at < surge.from + surge.length)
            rate *= surge.factor;
    }
    return rate;
}

auto RequestSource::draw(Time now, Duration step) -> std::vector<SimulatedRequest>
{
    auto drawn = std::vector<SimulatedRequest> {};
    for (auto organisation = std::size_t { 0 }; organisation < organisationShares_.size(); ++organisation) {
        const auto mean = rateOf(now, organisation) * std::chrono::duration<double>(step).count();
        const auto count = mean > 0 ? std::poisson_distribution<int>(mean)(random_) : 0;
        for (auto index = 0; index < count; ++index)
            drawn.push_back(drawRequest(now, organisation));
    }
    return drawn;
}

auto RequestSource::drawPart(const PlannedPart& part, std::uint64_t salt, std::size_t organisation)
    -> PromptPart
{
    const auto variant = std::uniform_int_distribution<std::uint64_t>(0, part.variants - 1)(random_);
    const auto owner = part.ownToOrganisation ? std::uint64_t { organisation } + 1 : 0;
    const auto name = std::array { salt, owner, variant };
    const auto id = XXH64(name.data(), sizeof(name), 0);
    // Seeded with the ID, so that a part has the same length in every request.
    auto own = std::mt19937_64(id);
    return { id, static_cast<std::uint32_t>(part.tokens.draw(own)) };
}

auto RequestSource::drawRequest(Time now, std::size_t organisation) -> SimulatedRequest
{
    auto made = SimulatedRequest {};
    made.kind = kinds_(random_);
    made.organisation = organisation;
    made.router = std::uniform_int_distribution<std::size_t>(0, plan_.routers - 1)(random_);
    made.firstSent = now;
    made.retriesLeft = plan_.retries;
    const auto& kind = plan_.kinds[made.kind];

    auto& request = made.request;
    request.key = { RouterId { made.router + 1 }, ++next_ };
    request.organisation = idOf<OrganisationId>(organisationName(organisation));
    request.failureDomain = hashName("domain-" + std::to_string(made.router % plan_.failureDomains));
    request.repeatable = kind.repeatable;
    request.goal = now + kind.goal;
    request.deadline = now + kind.deadline;

    auto& prompt = request.prompt;
    for (auto level = std::size_t { 0 }; level < kind.parts.size(); ++level)
        prompt.parts.push_back(drawPart(kind.parts[level], made.kind * 100 + level, organisation));
    prompt.parts.push_back({ XXH64(&next_, sizeof(next_), plan_.seed + 1),
        static_cast<std::uint32_t>(kind.ownTokens.draw(random_)) });
    for (const auto& part : prompt.parts)
        prompt.tokens += part.tokens;
    made.output = static_cast<std::uint32_t>(kind.outputTokens.draw(random_));
    prompt.outputLimit = static_cast<std::uint32_t>(kind.outputTokens.maximum);
    if (kind.hintSigma >= 0) {
        auto error = std::lognormal_distribution(0.0, kind.hintSigma);
        prompt.outputHint
            = std::max(1U, static_cast<std::uint32_t>(std::lround(made.output * error(random_))));
    }
    return made;
}

} // namespace camphorshunt::load
