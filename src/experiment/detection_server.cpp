#include "experiment/detection_server.h"

#include <array>
#include <cmath>

namespace galenaroad {

namespace {

// Service times of 25 to 50 ms by section 1.1 of the design, with a heavy tail.
constexpr std::array<double, 3> median_milliseconds{28, 40, 32};
constexpr std::array<double, 3> class_share{0.8, 0.15, 0.05};
constexpr double log_spread = 0.4;
constexpr double long_share = 0.01;
constexpr double long_factor = 10;

std::chrono::nanoseconds from_milliseconds(double value)
{
    return std::chrono::duration_cast<std::chrono::nanoseconds>(
        std::chrono::duration<double, std::milli>(value));
}

double uniform(random_engine& random)
{
    return std::uniform_real_distribution<double>(0, 1)(random);
}

} // namespace

std::chrono::nanoseconds detection_server::healthy_time(request_class work,
                                                        random_engine& random) const
{
    std::lognormal_distribution<double> usual(0, log_spread);
    const double factor = uniform(random) < long_share ? long_factor : 1;
    return from_milliseconds(median_milliseconds.at(static_cast<std::size_t>(work)) * m_bias *
                             usual(random) * factor);
}

std::chrono::nanoseconds detection_server::mean_time()
{
    double mean = 0;
    for (std::size_t work = 0; work < class_share.size(); ++work) {
        mean += class_share[work] * median_milliseconds[work];
    }
    const double tail = 1 + long_share * (long_factor - 1);
    return from_milliseconds(mean * std::exp(log_spread * log_spread / 2) * tail);
}

request_class detection_server::draw_class(random_engine& random)
{
    const double drawn = uniform(random);
    if (drawn < class_share[0]) {
        return request_class::read;
    }
    return drawn < class_share[0] + class_share[1] ? request_class::action
                                                   : request_class::transfer;
}

} // namespace galenaroad
