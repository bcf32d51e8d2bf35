#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

namespace galenaroad {

/// @param index number of the route.
/// @return the name of a route as the operators choose it.
inline std::string large_plan_route_name(int index)
{
    // The factor spreads consecutive routes over the order of names, as the names of a growing
    // configuration are.
    constexpr std::uint64_t factor = 0x9e3779b97f4a7c15U;
    return "route-" + std::to_string((static_cast<std::uint64_t>(index) + 1) * factor);
}

/// @param version the plan's version.
/// @param routes number of routes; a plan with more routes contains those with fewer.
/// @return a configuration of the platform's format with routes to service `s`.
inline std::string large_plan_text(std::uint64_t version, int routes)
{
    nlohmann::json plan{{"version", version},
                        {"routes", nlohmann::json::object()},
                        {"services", {{"s", nlohmann::json::object()}}}};
    for (int index = 0; index < routes; ++index) {
        const auto name = large_plan_route_name(index);
        plan["routes"][name] = {
            {"host", name + ".example"}, {"prefix", "/" + name.substr(name.size() - 7) + "/"},
            {"kind", "unsafe"},          {"service", "s"},
            {"timeout_ms", 6000},        {"latency_goal_ms", 2500},
            {"max_attempts", 2},         {"priority", 1}};
    }
    return plan.dump();
}

} // namespace galenaroad
