#include "health/peer_group.h"

#include "health/reference_statistics.h"

namespace galenaroad {

void peer_group::add(const upstream_window& window, steady_time now)
{
    m_samples.push_back(&window.samples(m_work));
    m_statistics.push_back(statistics_of(window, m_work, now));
}

std::optional<peer_reference> peer_group::recent_reference(std::size_t candidate) const
{
    std::vector<class_statistics> peers = m_statistics;
    peers.erase(peers.begin() + static_cast<std::ptrdiff_t>(candidate));
    return reference_from(peers);
}

std::optional<peer_reference> peer_group::reference_since(std::size_t candidate,
                                                          steady_time since) const
{
    std::vector<double> times;
    std::vector<failure_count> counts;
    peer_reference reference;
    for (std::size_t index = 0; index < m_samples.size(); ++index) {
        if (index == candidate) {
            continue;
        }
        const auto& samples = *m_samples[index];
        failure_count count;
        for (auto sample = samples.rbegin(); sample != samples.rend() && sample->started >= since;
             ++sample) {
            ++count.evaluated;
            count.failed += sample->failed ? 1U : 0U;
            if (!sample->failed) {
                times.push_back(sample->log_time);
            }
        }
        if (count.evaluated > 0) {
            counts.push_back(count);
            reference.samples += count.evaluated;
        }
    }
    if (counts.size() < min_peers || reference.samples < min_samples || times.empty()) {
        return std::nullopt;
    }
    const double centre = reference_statistics::median(times);
    reference.log_spread =
        reference_statistics::clamped_spread(reference_statistics::robust_spread(times, centre));
    reference.log_time =
        reference_statistics::conservative_centre(centre, reference.log_spread, times.size());
    reference.failure_ratio = reference_statistics::trimmed_failure_ratio(counts);
    return reference;
}

} // namespace galenaroad
