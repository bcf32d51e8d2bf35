#pragma once

#include "health/detection_settings.h"
#include "health/upstream_window.h"

#include <deque>
#include <vector>

namespace galenaroad {

/// Service times and failures of the peers of an upstream over some period.
struct peer_reference {
    double log_time = 0; ///< Median of the logarithms of the service times in ms, plus a margin.
    double log_spread = 0.3;  ///< Their robust standard deviation.
    double failure_ratio = 0; ///< Without the peers that fail most.
    std::size_t samples = 0;  ///< Attempts from which the reference was computed.
};

/// Result of a sequential test.
struct test_evidence {
    double value = 0;  ///< Cumulative sum of log-likelihood ratios since its last restart at zero.
    steady_time since; ///< Start of the first attempt in the sum.
    std::size_t samples = 0; ///< Attempts in the sum.
};

/// Sequential tests of one upstream's attempts against its peers.
///
/// Both tests are cumulative sums (CUSUM) that restart at zero, so that earlier normal attempts do
/// not delay the detection of a change. Attempts count in the order in which they started: after
/// one long attempt, the later attempts of a healthy upstream lower the sum, while a stalled
/// upstream has no later ones.
class sequential_ratio {
public:
    /// @param settings the settings of the detection policy.
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
    double m_shift; ///< Logarithm of the slowdown that the latency test detects.
};

} // namespace galenaroad
