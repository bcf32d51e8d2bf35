#include "health/class_statistics.h"

#include "health/peer_group.h"
#include "health/reference_statistics.h"

namespace galenaroad {

namespace {

constexpr std::size_t max_recent_samples = 15;
constexpr std::size_t min_recent_samples = 3;

} // namespace

class_statistics statistics_of(const upstream_window& window, request_class work, steady_time now)
{
    const auto& samples = window.samples(work);
    std::vector<double> recent;
    for (auto sample = samples.rbegin();
         sample != samples.rend() && recent.size() < max_recent_samples; ++sample) {
        if (!sample->failed) {
            recent.push_back(sample->log_time);
        }
    }
    class_statistics statistics;
    if (recent.size() >= min_recent_samples) {
        statistics.usable = true;
        statistics.timed = recent.size();
        statistics.log_time = reference_statistics::median(recent);
        statistics.log_spread = reference_statistics::robust_spread(recent, statistics.log_time);
    }
    const window_totals totals = window.totals(work, now);
    statistics.evaluated = totals.evaluated();
    statistics.failed = totals.failures;
    return statistics;
}

std::optional<peer_reference> reference_from(const std::vector<class_statistics>& peers)
{
    std::vector<double> times;
    std::vector<double> spreads;
    std::vector<failure_count> counts;
    std::size_t timed = 0;
    peer_reference reference;
    for (const class_statistics& peer : peers) {
        if (peer.evaluated == 0) {
            continue;
        }
        counts.push_back({peer.evaluated, peer.failed});
        reference.samples += peer.evaluated;
        if (peer.usable) {
            times.push_back(peer.log_time);
            spreads.push_back(peer.log_spread);
            timed += peer.timed;
        }
    }
    if (times.size() < peer_group::min_peers) {
        return std::nullopt;
    }
    reference.log_spread =
        reference_statistics::clamped_spread(reference_statistics::median(spreads));
    reference.log_time = reference_statistics::conservative_centre(
        reference_statistics::median(times), reference.log_spread, timed);
    reference.failure_ratio = reference_statistics::trimmed_failure_ratio(counts);
    return reference;
}

} // namespace galenaroad
