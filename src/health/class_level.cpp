#include "health/class_level.h"

#include "health/peer_group.h"
#include "health/reference_statistics.h"

namespace galenaroad {

namespace {

constexpr std::size_t level_samples = 15;
constexpr std::size_t least_level_samples = 3;

} // namespace

class_level level_of(const upstream_window& window, request_class work, steady_time now)
{
    const auto& samples = window.samples(work);
    std::vector<double> recent;
    for (auto sample = samples.rbegin(); sample != samples.rend() && recent.size() < level_samples;
         ++sample) {
        if (!sample->failed) {
            recent.push_back(sample->log_time);
        }
    }
    class_level level;
    if (recent.size() >= least_level_samples) {
        level.usable = true;
        level.timed = recent.size();
        level.log_time = reference_statistics::median(recent);
        level.log_spread = reference_statistics::robust_spread(recent, level.log_time);
    }
    const window_totals totals = window.totals(work, now);
    level.judged = totals.judged();
    level.failed = totals.failures;
    return level;
}

std::optional<peer_reference> reference_from(const std::vector<class_level>& peers)
{
    std::vector<double> times;
    std::vector<double> spreads;
    std::vector<failure_count> counts;
    std::size_t timed = 0;
    peer_reference reference;
    for (const class_level& peer : peers) {
        if (peer.judged == 0) {
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
    if (times.size() < peer_group::least_peers) {
        return std::nullopt;
    }
    reference.log_spread =
        reference_statistics::bounded_spread(reference_statistics::median(spreads));
    reference.log_time = reference_statistics::cautious_level(reference_statistics::median(times),
                                                              reference.log_spread, timed);
    reference.failure_ratio = reference_statistics::trimmed_failure_ratio(counts);
    return reference;
}

} // namespace galenaroad
