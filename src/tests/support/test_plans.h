#pragma once

#include "fleet/routing_plan.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace galenaroad {

/// @param name name of the route; its host and prefix follow from it.
/// @param service the service that gets its requests.
inline route_rule make_test_route(const std::string& name, const std::string& service)
{
    route_rule rule;
    rule.name = name;
    rule.host = name + ".example";
    rule.prefix = "/";
    rule.targets = {{service, 1}};
    return rule;
}

/// @param version the plan's version.
/// @param services the service of each route, by the route's name.
inline routing_plan make_test_plan(std::uint64_t version,
                                   const std::map<std::string, std::string>& services)
{
    routing_plan plan;
    plan.version = version;
    for (const auto& [name, service] : services) {
        plan.routes.push_back(make_test_route(name, service));
        plan.services[service] = {};
    }
    return plan;
}

/// @param name name of the account.
/// @param keys texts of its keys.
inline client_account make_test_account(const std::string& name,
                                        const std::vector<std::string>& keys)
{
    client_account account;
    account.name = name;
    for (const auto& key : keys) {
        account.keys.push_back(api_key_digest::of(key));
    }
    return account;
}

} // namespace galenaroad
