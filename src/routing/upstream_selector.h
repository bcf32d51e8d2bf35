#pragma once

#include "base/clock.h"
#include "base/random_engine.h"
#include "routing/routing_snapshot.h"

#include <vector>

namespace galenaroad {

/// Selects the upstream for one attempt of a request.
///
/// At each distance it compares two random candidates and takes the one with the lower cost (power
/// of two choices). A farther candidate is considered only when the nearer one is close to its
/// limit.
class upstream_selector {
public:
    /// Cost (utilisation plus missing preference) from which the next distance is considered.
    static constexpr double spill_cost = 0.9;
    /// A farther candidate must cost less by this margin, since cross-region traffic is billed.
    static constexpr double spill_margin = 0.3;

    /// Selects an upstream.
    /// @param candidates the service's candidates, nearest first.
    /// @param excluded upstreams that earlier attempts of the request have used.
    /// @param now the current time.
    /// @param random the random engine.
    /// @return the candidate, or null when all are excluded.
    const upstream_candidate* select(const service_candidates& candidates,
                                     const std::vector<upstream_id>& excluded, steady_time now,
                                     random_engine& random) const;

private:
    using candidate_list = std::vector<const upstream_candidate*>;

    static const upstream_candidate* pick_weighted(const candidate_list& tier,
                                                   random_engine& random);
    static const upstream_candidate* pick_of_two(const candidate_list& tier, steady_time now,
                                                 random_engine& random);
};

} // namespace galenaroad
