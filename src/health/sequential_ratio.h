#pragma once

#include "health/detection_settings.h"
#include "health/upstream_window.h"

#include <deque>
#include <vector>

namespace galenaroad {

/// What the peers of an upstream show over some period.
struct peer_reference {
    double log_time = 0;      ///< Median of the logarithms of the service times, on the safe side.
    double log_spread = 0.3;  ///< Their robust standard deviation.
    double failure_ratio = 0; ///< Ratio of failures, without the peers that fail most.
    std::size_t samples = 0;  ///< Attempts behind the reference.
};

/// Result of a sequential test.
struct test_evidence {
    double value = 0;        ///< Log-likelihood ratio of the latest run of evidence.
    steady_time since;       ///< Start of the first attempt of that run.
    std::size_t samples = 0; ///< Attempts in that run.
};

/// Sequential tests of one upstream's attempts against its peers.
///
/// Both are cumulative sums that restart at zero, so that a change is found at any time and past
/// good behaviour does not hide it. Attempts count in the order in which they started: a healthy
/// upstream with one long attempt has later attempts that speak for it, a stalled one has none.
class sequential_ratio {
public:
    /// @param settings the policy's parameters.
    /// @param peers the reference to test against.
    sequential_ratio(const detection_settings& settings, const peer_reference& peers);

    /// Tests for a failure ratio above the peers'.
    /// @param samples the attempts in the order in which they started.
    /// @return the evidence.
    test_evidence failures(const std::deque<attempt_sample>& samples) const;

    /// Tests for service times longer than the peers'.
    /// @param samples the attempts in the order in which they started.
    /// @param open start times of the running attempts of the class, in order.
    /// @param now the current time.
    /// @return the evidence.
    test_evidence latencies(const std::deque<attempt_sample>& samples,
                            const std::vector<steady_time>& open, steady_time now) const;

private:
    double completed_contribution(double log_time) const;
    double open_contribution(double log_age) const;

    detection_settings m_settings;
    peer_reference m_peers;
    double m_shift; ///< Logarithm of the slowdown that the latency test looks for.
};

} // namespace galenaroad
