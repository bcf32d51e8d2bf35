#pragma once

#include "health/class_statistics.h"
#include "health/sequential_ratio.h"
#include "health/upstream_window.h"

#include <optional>
#include <vector>

namespace galenaroad {

/// The upstreams of one service in one request class, from which references are computed.
class peer_group {
public:
    /// Minimum number of upstreams other than the candidate for a comparison.
    static constexpr std::size_t min_peers = 3;
    /// Minimum number of attempts for a reference over a short period.
    static constexpr std::size_t min_samples = 8;

    /// @param work the request class to compare in.
    explicit peer_group(request_class work) : m_work(work) {}

    /// Adds an upstream.
    /// @param window its recent attempts; must outlive the group.
    /// @param now the current time.
    void add(const upstream_window& window, steady_time now);

    /// Computes the reference from the peers' recent statistics.
    /// @param candidate position of the upstream to leave out, in the order in which they were
    /// added.
    /// @return the reference; empty when too few peers have attempts.
    std::optional<peer_reference> recent_reference(std::size_t candidate) const;

    /// Computes a reference over the same period as some evidence, so that peers that changed at
    /// the same time are compared in their changed state.
    /// @param candidate position of the upstream to leave out.
    /// @param since start of the period.
    /// @return the reference; empty when the peers have too few attempts in the period.
    std::optional<peer_reference> reference_since(std::size_t candidate, steady_time since) const;

private:
    request_class m_work;
    std::vector<const std::deque<attempt_sample>*> m_samples;
    std::vector<class_statistics> m_statistics;
};

} // namespace galenaroad
