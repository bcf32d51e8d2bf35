#pragma once

#include "base/clock.h"
#include "health/class_statistics.h"
#include "model/contract.h"
#include "model/upstream.h"

#include <array>
#include <chrono>
#include <map>
#include <vector>

namespace galenaroad {

/// Statistics of an upstream in one request class, as its owner reports them.
struct reported_statistics {
    request_class work = request_class::read;
    class_statistics statistics;
};

/// Reference for an upstream in one request class, as the evaluator returns it to the owner.
struct class_reference {
    request_class work = request_class::read;
    peer_reference reference;
};

/// Collects the statistics of a service's upstreams at the service's evaluator.
///
/// Callers prefer near upstreams and, at low load, may use only two upstreams of a service, which
/// is too few for a comparison. Therefore each owner reports its statistics to the evaluator and
/// receives a reference computed from all other upstreams. This costs one exchange per upstream and
/// second, independent of the size of the fleet.
class statistics_collector {
public:
    /// Statistics are used for this time after their receipt.
    static constexpr std::chrono::seconds statistics_lifetime{3};

    /// Stores the statistics of an upstream.
    /// @param id the upstream.
    /// @param statistics its statistics by request class.
    /// @param now the time of receipt.
    void receive(const upstream_id& id, const std::vector<reported_statistics>& statistics,
                 steady_time now);

    /// Computes the references for an upstream.
    /// @param id the upstream; its own statistics are left out.
    /// @param now the current time.
    /// @return the references of the request classes in which enough peers have attempts.
    std::vector<class_reference> references_for(const upstream_id& id, steady_time now) const;

private:
    struct received_statistics {
        std::vector<reported_statistics> statistics;
        steady_time received_at;
    };

    std::map<upstream_id, received_statistics> m_statistics;
};

} // namespace galenaroad
