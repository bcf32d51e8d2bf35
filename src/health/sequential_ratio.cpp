#include "health/sequential_ratio.h"

#include <algorithm>
#include <cmath>

namespace galenaroad {

namespace {

// One failure in a hundred is normal; with a lower ratio, two failures would reach the threshold.
constexpr double min_failure_ratio = 0.01;
constexpr double max_failure_ratio = 0.95;
// If the peers fail more often than this, an upstream cannot be significantly worse.
constexpr double max_peer_failure_ratio = 0.7;

// Bounds of the contribution of one attempt. Service times have heavy tails: about one healthy
// attempt in a hundred takes ten times longer, so a single one must not contribute more than
// ln 100 = 4.6.
constexpr double min_contribution = -2.0;
constexpr double base_contribution_bound = 1.5;
constexpr double max_completed_contribution = 3.0;
// A stalled upstream with three slots has at most three open attempts, so three very old ones must
// reach the careful policy's threshold of 20. With a maximum of 6.5 they did not.
constexpr double max_open_contribution = 7.5;
constexpr double open_bound_slope = 2.0;

/// Cumulative sum that restarts at zero.
class cumulative_sum {
public:
    void add(double contribution, steady_time started)
    {
        if (m_evidence.value + contribution <= 0) {
            m_evidence = test_evidence{};
            return;
        }
        if (m_evidence.samples == 0) {
            m_evidence.since = started;
        }
        m_evidence.value += contribution;
        ++m_evidence.samples;
    }
    const test_evidence& evidence() const { return m_evidence; }

private:
    test_evidence m_evidence;
};

} // namespace

sequential_ratio::sequential_ratio(const detection_settings& settings, const peer_reference& peers)
    : m_settings(settings), m_peers(peers), m_shift(std::log(settings.slowdown))
{
}

test_evidence sequential_ratio::failures(const std::deque<attempt_sample>& samples) const
{
    const double base = std::max(m_peers.failure_ratio, min_failure_ratio);
    if (base > max_peer_failure_ratio) {
        return {};
    }
    const double raised = std::min(base + m_settings.failure_excess, max_failure_ratio);
    const double failure = std::log(raised / base);
    const double success = std::log((1 - raised) / (1 - base));
    cumulative_sum sum;
    for (const attempt_sample& sample : samples) {
        sum.add(sample.failed ? failure : success, sample.started);
    }
    return sum.evidence();
}

test_evidence sequential_ratio::latencies(const std::deque<attempt_sample>& samples,
                                          const std::vector<steady_time>& open,
                                          steady_time now) const
{
    cumulative_sum sum;
    auto next_open = open.begin();
    const auto add_open = [&](steady_time until) {
        for (; next_open != open.end() && *next_open <= until; ++next_open) {
            const double contribution = open_contribution(log_milliseconds(now - *next_open));
            if (contribution > 0) {
                sum.add(contribution, *next_open);
            }
        }
    };
    for (const attempt_sample& sample : samples) {
        add_open(sample.started);
        if (!sample.failed) {
            sum.add(completed_contribution(sample.log_time), sample.started);
        }
    }
    add_open(now);
    return sum.evidence();
}

double sequential_ratio::completed_contribution(double log_time) const
{
    const double excess = log_time - m_peers.log_time;
    const double ratio =
        m_shift / (m_peers.log_spread * m_peers.log_spread) * (excess - m_shift / 2);
    const double bound = base_contribution_bound + std::max(0.0, excess - m_shift);
    return std::clamp(ratio, min_contribution, std::min(bound, max_completed_contribution));
}

double sequential_ratio::open_contribution(double log_age) const
{
    const double excess = log_age - m_peers.log_time;
    const double ratio =
        m_shift / (m_peers.log_spread * m_peers.log_spread) * (excess - m_shift / 2);
    const double bound =
        base_contribution_bound + open_bound_slope * std::max(0.0, excess - m_shift);
    return std::min({ratio, bound, max_open_contribution});
}

} // namespace galenaroad
