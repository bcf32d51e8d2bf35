#pragma once

#include "fleet/routing_plan.h"

#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <vector>

namespace galenaroad {

/// The parts of a plan that have no name.
struct plan_properties {
    client_limits limits;
    std::size_t error_count = 0;  ///< Parts of the operators' configuration that are invalid.
    bool has_all_routes = true;   ///< See routing_plan.
    bool has_all_services = true; ///< See routing_plan.
    bool has_accounts = false;    ///< See routing_plan.
    bool has_all_accounts = true; ///< See routing_plan.
};

/// What differs between two versions of a plan.
struct plan_change {
    std::uint64_t base_version = 0; ///< Version that it changes; 0 when it holds the whole plan.
    std::uint64_t version = 0;      ///< Version that results.
    std::uint64_t digest = 0;       ///< Of the resulting plan; see plan_index::digest().
    plan_properties properties;
    std::vector<route_rule> routes; ///< Added or changed.
    std::vector<std::string> removed_routes;
    std::map<std::string, service_rule> services; ///< Added or changed.
    std::vector<std::string> removed_services;
    std::vector<client_account> accounts; ///< Added or changed.
    std::vector<std::string> removed_accounts;

    /// Adds the parts of the next page of the same change.
    /// @param next the page's parts.
    void append(plan_change next);
};

/// Name of a route, service or client account of a plan.
struct plan_part {
    enum class kind { service, route, account };

    kind type = kind::route;
    std::string name;
};

inline bool operator<(const plan_part& a, const plan_part& b)
{
    return std::tie(a.type, a.name) < std::tie(b.type, b.name);
}

inline bool operator==(const plan_part& a, const plan_part& b)
{
    return a.type == b.type && a.name == b.name;
}

} // namespace galenaroad
