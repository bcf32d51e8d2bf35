#pragma once

#include "base/clock.h"
#include "health/ejection_command.h"
#include "health/service_health.h"

#include <map>
#include <string>
#include <vector>

namespace galenaroad {

/// Decides which changes of a service's row the service's evaluator requests.
class service_evaluation {
public:
    /// A third of ejection_row::validity, so that the rest of it remains for a slow store.
    static constexpr std::chrono::seconds renewal_interval{10};
    /// Minimum time between two proposals to eject the same upstream.
    static constexpr std::chrono::seconds proposal_interval{1};

    /// Compares the upstreams that should be ejected with those that are.
    /// @param capacity the live members and the floor.
    /// @param candidates the upstreams that are on hold.
    /// @param has_drains whether the row has drains, which are renewed as well.
    /// @param now the current time.
    /// @return the commands to execute.
    std::vector<ejection_command> decide(const service_capacity& capacity,
                                         const std::vector<ejection_candidate>& candidates,
                                         bool has_drains, steady_time now);

    /// Records that the store has accepted an ejection.
    /// @param upstream the upstream.
    /// @param now the current time.
    void on_granted(const upstream_id& upstream, steady_time now);

    /// @return the upstreams whose ejections this evaluator renews.
    const std::vector<upstream_id>& ejected() const { return m_ejected; }

private:
    bool may_propose(const upstream_id& upstream, steady_time now);
    void release_recovered(const service_capacity& capacity,
                           const std::vector<ejection_candidate>& candidates,
                           std::vector<ejection_command>& commands);

    std::map<upstream_id, steady_time> m_last_proposals;
    std::vector<upstream_id> m_ejected;
    steady_time m_last_renewal;
};

} // namespace galenaroad
