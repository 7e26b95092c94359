#include "lengths.h"

#include <algorithm>
#include <cmath>

namespace camphorshunt::load {

namespace {

auto drawReal(const Lengths& lengths, std::mt19937_64& random) -> double
{
    switch (lengths.shape) {
    case Lengths::Shape::Constant:
        return lengths.first;
    case Lengths::Shape::Uniform:
        return std::uniform_real_distribution(lengths.first, lengths.second)(random);
    case Lengths::Shape::Lognormal:
        return std::lognormal_distribution(std::log(lengths.first), lengths.second)(random);
    case Lengths::Shape::Bimodal:
        return std::bernoulli_distribution(lengths.rareFraction)(random) ? lengths.second : lengths.first;
    }
    return lengths.first;
}

} // namespace

auto Lengths::draw(std::mt19937_64& random) const -> std::uint64_t
{
    return static_cast<std::uint64_t>(std::llround(std::clamp(drawReal(*this, random), 1.0, longest)));
}

} // namespace camphorshunt::load
