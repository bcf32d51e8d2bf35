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

/// Level of an upstream in one request class, as its owner reports it.
struct reported_statistics {
    request_class work = request_class::read;
    class_statistics statistics;
};

/// Reference for an upstream in one request class, as the evaluator answers it.
struct class_reference {
    request_class work = request_class::read;
    peer_reference reference;
};

/// Levels of a service's upstreams at the service's evaluator.
///
/// Callers prefer near upstreams and may see two of a service at low load, too few for a
/// comparison. Each owner reports its level to the evaluator and receives a reference from all
/// others. The cost of one exchange per upstream and second does not depend on the fleet's size.
class statistics_collector {
public:
    /// A level is used for this time.
    static constexpr std::chrono::seconds statistics_lifetime{3};

    /// Takes over the levels of an upstream.
    /// @param id the upstream.
    /// @param statistics its levels.
    /// @param now the time of receipt.
    void receive(const upstream_id& id, const std::vector<reported_statistics>& statistics,
                 steady_time now);

    /// Computes the references for an upstream.
    /// @param id the upstream, which is left out.
    /// @param now the current time.
    /// @return the references of the classes in which enough peers have attempts.
    std::vector<class_reference> references_for(const upstream_id& id, steady_time now) const;

private:
    struct received_statistics {
        std::vector<reported_statistics> statistics;
        steady_time received_at;
    };

    std::map<upstream_id, received_statistics> m_statistics;
};

} // namespace galenaroad
