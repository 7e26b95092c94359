#pragma once

#include <cstdint>
#include <random>

#include "settingsreader.h"

namespace camphorshunt::load {

/** How many tokens requests have. */
struct Lengths {
    enum class Shape { Constant, Uniform, Lognormal, Bimodal };

    Shape shape = Shape::Constant;
    /** Constant: the length. Uniform: the least. Lognormal: the median. Bimodal: the usual length. */
    double first = 1.0;
    /** Uniform: the most. Lognormal: sigma of the logarithm. Bimodal: the rare length. */
    double second {};
    /** Bimodal: how many of all requests have the rare length. */
    double rareFraction {};
    /** No request is longer. */
    double maximum = 100'000.0;

    static auto read(SettingsReader reader) -> Lengths;
    /** At least 1. */
    auto draw(std::mt19937_64& random) const -> std::uint64_t;
};

} // namespace camphorshunt::load
