#include "lengths.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <string>

namespace camphorshunt::load {

namespace {

constexpr auto maxTokens = 100'000.0;

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

auto Lengths::read(SettingsReader reader) -> Lengths
{
    static const auto shapes = std::map<std::string, Shape, std::less<>> { { "constant", Shape::Constant },
        { "uniform", Shape::Uniform }, { "lognormal", Shape::Lognormal }, { "bimodal", Shape::Bimodal } };
    auto lengths = Lengths {};
    const auto found = shapes.find(reader.text("shape"));
    if (found == shapes.end())
        reader.refuse("shape", "must be constant, uniform, lognormal or bimodal");
    else
        lengths.shape = found->second;
    lengths.first = reader.real("first", 1.0, 1.0, maxTokens);
    lengths.second = reader.real("second", 0.0, 0.0, maxTokens);
    lengths.rareFraction = reader.real("rareFraction", 0.0, 0.0, 1.0);
    lengths.maximum = reader.real("longest", maxTokens, 1.0, maxTokens);
    if (lengths.shape == Shape::Uniform && lengths.second < lengths.first)
        reader.refuse("second", "must not be less than first");
    if (lengths.shape == Shape::Bimodal && lengths.second < 1.0)
        reader.refuse("second", "must be 1 or more");
    reader.finish();
    return lengths;
}

auto Lengths::draw(std::mt19937_64& random) const -> std::uint64_t
{
    return static_cast<std::uint64_t>(std::llround(std::clamp(drawReal(*this, random), 1.0, maximum)));
}

} // namespace camphorshunt::load
