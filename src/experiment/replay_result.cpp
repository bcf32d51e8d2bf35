#include "experiment/replay_result.h"

#include <algorithm>
#include <cmath>

namespace galenaroad {

namespace {

// Share that is not served below which no more is earned.
constexpr double nines_best = 0.005;

} // namespace

double replay_result::nines() const
{
    const double missing =
        all.asked > 0 ? 1 - static_cast<double>(all.served) / static_cast<double>(all.asked) : 0;
    return std::min(1.0, std::log(std::max(missing, nines_best)) / std::log(nines_best));
}

double replay_result::worst_windows() const
{
    std::vector<double> worths;
    for (const auto& window : windows) {
        if (window.asked > 0) {
            worths.push_back(window.worth());
        }
    }
    std::sort(worths.begin(), worths.end());
    if (worths.size() < 2) {
        return 1;
    }
    return (worths[0] + worths[1]) / 2;
}

double replay_result::worst_kind() const
{
    double least = 1;
    for (const auto& [name, counts] : kinds) {
        least = std::min(least, counts.worth());
    }
    return least;
}

double replay_result::worth() const
{
    constexpr double whole_weight = 0.35;
    constexpr double nines_weight = 0.35;
    constexpr double windows_weight = 0.15;
    constexpr double kind_weight = 0.15;
    return whole_weight * all.worth() + nines_weight * nines() + windows_weight * worst_windows() +
           kind_weight * worst_kind();
}

} // namespace galenaroad
