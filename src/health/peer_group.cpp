#include "health/peer_group.h"

#include <algorithm>
#include <cmath>

namespace galenaroad {

namespace {

constexpr std::size_t level_samples = 15;
constexpr std::size_t least_level_samples = 3;
// Standard deviation of a normal distribution per median absolute deviation.
constexpr double deviation_scale = 1.4826;
// Few samples can agree by chance; a smaller spread would exaggerate a small difference.
constexpr double least_spread = 0.35;
constexpr double greatest_spread = 1.2;

// Standard error of a median, in standard deviations and for one sample.
constexpr double median_error = 1.25;
// The peers' level is taken this many standard errors above its estimate. Without the margin a
// level from few peers, as in a rare request class, is wrong in the same direction for all
// attempts of the candidate, and 21 transfers were enough to eject a healthy server.
constexpr double level_margin = 2;

double cautious_level(double level, double spread, std::size_t samples)
{
    return level + level_margin * median_error * spread / std::sqrt(static_cast<double>(samples));
}

struct failure_count {
    std::size_t judged = 0;
    std::size_t failed = 0;

    double ratio() const
    {
        return judged == 0 ? 0 : static_cast<double>(failed) / static_cast<double>(judged);
    }
};

double median(std::vector<double>& values)
{
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

double robust_spread(std::vector<double>& values, double centre)
{
    for (double& value : values) {
        value = std::abs(value - centre);
    }
    return deviation_scale * median(values);
}

// Pools the ratio of failures without the quarter of the peers that fail most.
double trimmed_failure_ratio(std::vector<failure_count>& counts)
{
    std::sort(counts.begin(), counts.end(),
              [](const failure_count& a, const failure_count& b) { return a.ratio() < b.ratio(); });
    failure_count pool;
    const std::size_t kept = counts.size() - counts.size() / 4;
    for (std::size_t index = 0; index < kept; ++index) {
        pool.judged += counts[index].judged;
        pool.failed += counts[index].failed;
    }
    return pool.ratio();
}

} // namespace

void peer_group::add(const upstream_window& window, steady_time now)
{
    level added{&window.samples(m_work)};
    std::vector<double> recent;
    for (auto sample = added.samples->rbegin();
         sample != added.samples->rend() && recent.size() < level_samples; ++sample) {
        if (!sample->failed) {
            recent.push_back(sample->log_time);
        }
    }
    if (recent.size() >= least_level_samples) {
        added.usable = true;
        added.timed = recent.size();
        added.log_time = median(recent);
        added.log_spread = robust_spread(recent, added.log_time);
    }
    const window_totals totals = window.totals(m_work, now);
    added.judged = totals.judged();
    added.failed = totals.failures;
    m_levels.push_back(added);
}

std::optional<peer_reference> peer_group::usual(std::size_t candidate) const
{
    std::vector<double> times;
    std::vector<double> spreads;
    std::vector<failure_count> counts;
    std::size_t timed = 0;
    peer_reference reference;
    for (std::size_t index = 0; index < m_levels.size(); ++index) {
        const level& peer = m_levels[index];
        if (index == candidate || peer.judged == 0) {
            continue;
        }
        counts.push_back({peer.judged, peer.failed});
        reference.samples += peer.judged;
        if (peer.usable) {
            times.push_back(peer.log_time);
            spreads.push_back(peer.log_spread);
            timed += peer.timed;
        }
    }
    if (times.size() < least_peers) {
        return std::nullopt;
    }
    reference.log_spread = std::clamp(median(spreads), least_spread, greatest_spread);
    reference.log_time = cautious_level(median(times), reference.log_spread, timed);
    reference.failure_ratio = trimmed_failure_ratio(counts);
    return reference;
}

std::optional<peer_reference> peer_group::since(std::size_t candidate, steady_time since) const
{
    std::vector<double> times;
    std::vector<failure_count> counts;
    peer_reference reference;
    for (std::size_t index = 0; index < m_levels.size(); ++index) {
        if (index == candidate) {
            continue;
        }
        const auto& samples = *m_levels[index].samples;
        failure_count count;
        for (auto sample = samples.rbegin(); sample != samples.rend() && sample->started >= since;
             ++sample) {
            ++count.judged;
            count.failed += sample->failed ? 1U : 0U;
            if (!sample->failed) {
                times.push_back(sample->log_time);
            }
        }
        if (count.judged > 0) {
            counts.push_back(count);
            reference.samples += count.judged;
        }
    }
    if (counts.size() < least_peers || reference.samples < least_samples || times.empty()) {
        return std::nullopt;
    }
    const double centre = median(times);
    reference.log_spread = std::clamp(robust_spread(times, centre), least_spread, greatest_spread);
    reference.log_time = cautious_level(centre, reference.log_spread, times.size());
    reference.failure_ratio = trimmed_failure_ratio(counts);
    return reference;
}

} // namespace galenaroad
