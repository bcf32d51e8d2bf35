#pragma once

#include "fleet/routing_plan.h"

#include <cstddef>
#include <map>
#include <string>

namespace galenaroad {

/// Estimates response sizes by route from moving averages; used for the transfer cost to an owner.
class response_size_estimator {
public:
    /// Limit on routes with an average; a route beyond it causes all averages to be discarded.
    static constexpr std::size_t max_routes = 4096;

    /// @param route a route.
    /// @return the expected size of its responses in bytes.
    double expected_bytes(const route_rule& route) const;

    /// Records the size of a response.
    /// @param route its route.
    /// @param bytes the size of its body.
    void record(const route_rule& route, std::size_t bytes);

private:
    std::map<std::string, double> m_averages;
};

} // namespace galenaroad
