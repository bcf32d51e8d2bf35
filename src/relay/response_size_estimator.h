#pragma once

#include "fleet/routing_plan.h"

#include <cstddef>
#include <map>
#include <string>

namespace galenaroad {

/// Average sizes of answers by route, for the price of the way to an owner.
class response_size_estimator {
public:
    /// Routes that are kept apart; when there are more, all are learned anew.
    static constexpr std::size_t max_routes = 4096;

    /// @param route a route.
    /// @return the expected size of its answers in bytes.
    double expected_bytes(const route_rule& route) const;

    /// Notes the size of an answer.
    /// @param route its route.
    /// @param bytes the size of its body.
    void record(const route_rule& route, std::size_t bytes);

private:
    std::map<std::string, double> m_averages;
};

} // namespace galenaroad
