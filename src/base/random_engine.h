#pragma once

#include <random>

namespace galenaroad {

/// Seeded engine that is passed to every decision that needs a random number.
using random_engine = std::mt19937_64;

} // namespace galenaroad
