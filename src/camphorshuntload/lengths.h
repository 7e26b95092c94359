#pragma once

#include <cstdint>
#include <random>

#include "settingsreader.h"

namespace camphorshunt::load {

/** Distribution of the number of tokens of a request or a part of its prompt. */
struct Lengths {
    enum class Shape { Constant, Uniform, Lognormal, Bimodal };

    Shape shape = Shape::Constant;
    /** Constant: the length. Uniform: the minimum. Lognormal: the median. Bimodal: the usual length. */
    double first = 1.0;
    /** Uniform: the maximum. Lognormal: sigma of the logarithm. Bimodal: the rare length. */
    double second {};
    /** Bimodal: fraction of requests with the rare length. */
    double rareFraction {};
    /** Longer draws are clamped to this. */
    double maximum = 100'000.0;

    static auto read(SettingsReader reader) -> Lengths;
    /** Returns at least 1. */
    auto draw(std::mt19937_64& random) const -> std::uint64_t;
};

} // namespace camphorshunt::load
