#pragma once

#include "base/clock.h"
#include "health/ejection_command.h"
#include "health/service_health.h"

#include <map>
#include <string>
#include <vector>

namespace galenaroad {

/// Decides which changes of a service's row the service's evaluator asks for.
class service_evaluation {
public:
    /// Renewals leave two thirds of the validity for a slow store.
    static constexpr std::chrono::seconds renewal_interval{10};
    static constexpr std::chrono::seconds proposal_interval{1};

    /// Compares what should be ejected with what is.
    /// @param capacity the live members and the floor.
    /// @param candidates the upstreams that are held.
    /// @param has_drains whether the row holds drains, which are renewed as well.
    /// @param now the current time.
    /// @return the changes to carry out.
    std::vector<ejection_command> decide(const service_capacity& capacity,
                                         const std::vector<ejection_candidate>& candidates,
                                         bool has_drains, steady_time now);

    /// Notes that an ejection was granted.
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
