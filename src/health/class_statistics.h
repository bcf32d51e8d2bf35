#pragma once

#include "health/sequential_ratio.h"
#include "health/upstream_window.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace galenaroad {

/// Recent level of one upstream in one request class, as a comparison with others needs it.
struct class_statistics {
    bool usable = false;       ///< Whether there are enough successes for a level.
    double log_time = 0;       ///< Median of the logarithms of the service times in milliseconds.
    double log_spread = 0;     ///< Their robust standard deviation.
    std::size_t timed = 0;     ///< Successes behind the level.
    std::size_t evaluated = 0; ///< Attempts within the window.
    std::size_t failed = 0;
};

/// Summarises a window.
/// @param window the upstream's window.
/// @param work the request class.
/// @param now the current time.
/// @return the level.
class_statistics statistics_of(const upstream_window& window, request_class work, steady_time now);

/// Takes the reference from the levels of an upstream's peers.
/// @param peers the levels of the other upstreams of the service.
/// @return the reference; empty when too few peers have attempts.
std::optional<peer_reference> reference_from(const std::vector<class_statistics>& peers);

} // namespace galenaroad
