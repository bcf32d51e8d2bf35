#pragma once

#include "health/sequential_ratio.h"
#include "health/upstream_window.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace galenaroad {

/// Recent service times and failures of one upstream in one request class, in the form in which
/// upstreams are compared with one another.
struct class_statistics {
    bool usable = false;       ///< Whether there are enough successes for log_time and log_spread.
    double log_time = 0;       ///< Median of the natural logarithms of the service times in ms.
    double log_spread = 0;     ///< Their robust standard deviation.
    std::size_t timed = 0;     ///< Successes from which log_time and log_spread were computed.
    std::size_t evaluated = 0; ///< Successes and failures within the window.
    std::size_t failed = 0;    ///< Failures within the window.
};

/// Computes the statistics of one upstream.
/// @param window the upstream's recent attempts.
/// @param work the request class.
/// @param now the current time.
/// @return the statistics of the request class.
class_statistics statistics_of(const upstream_window& window, request_class work, steady_time now);

/// Computes the reference that an upstream is compared with from the statistics of its peers.
/// @param peers the statistics of the other upstreams of the service.
/// @return the reference; empty when fewer than peer_group::min_peers peers have enough successes.
std::optional<peer_reference> reference_from(const std::vector<class_statistics>& peers);

} // namespace galenaroad
