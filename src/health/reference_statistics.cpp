#include "health/reference_statistics.h"

#include <algorithm>
#include <cmath>

namespace galenaroad {

namespace {

// Standard deviation of a normal distribution per median absolute deviation.
constexpr double deviation_scale = 1.4826;
// Few samples can be close together by chance; a smaller spread would exaggerate a difference.
constexpr double min_spread = 0.35;
constexpr double max_spread = 1.2;

// Standard error of a median, in standard deviations and for one sample.
constexpr double median_error = 1.25;
// Number of standard errors that are added to the peers' median. Without this margin, a median from
// few samples, as in a rare request class, is too low for all attempts of the candidate: 21
// transfers were enough to eject a healthy server.
constexpr double conservative_margin = 2;

} // namespace

double reference_statistics::median(std::vector<double>& values)
{
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

double reference_statistics::robust_spread(std::vector<double>& values, double centre)
{
    for (double& value : values) {
        value = std::abs(value - centre);
    }
    return deviation_scale * median(values);
}

double reference_statistics::clamped_spread(double spread)
{
    return std::clamp(spread, min_spread, max_spread);
}

double reference_statistics::conservative_centre(double centre, double spread, std::size_t samples)
{
    return centre +
           conservative_margin * median_error * spread / std::sqrt(static_cast<double>(samples));
}

double reference_statistics::trimmed_failure_ratio(std::vector<failure_count>& counts)
{
    std::sort(counts.begin(), counts.end(),
              [](const failure_count& a, const failure_count& b) { return a.ratio() < b.ratio(); });
    failure_count pool;
    const std::size_t kept = counts.size() - counts.size() / 4;
    for (std::size_t index = 0; index < kept; ++index) {
        pool.evaluated += counts[index].evaluated;
        pool.failed += counts[index].failed;
    }
    return pool.ratio();
}

} // namespace galenaroad
