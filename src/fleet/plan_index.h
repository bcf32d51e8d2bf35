#pragma once

#include "fleet/account_index.h"
#include "fleet/persistent_map.h"
#include "fleet/plan_change.h"
#include "fleet/routing_plan.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace galenaroad {

/// One version of the routing plan, in which the route of a request is found. Versions share the
/// parts that are equal, so that the next version costs as much as what has changed.
class plan_index {
public:
    /// Creates an empty plan of version 0.
    plan_index() = default;

    /// @param plan the plan.
    explicit plan_index(const routing_plan& plan);

    /// Makes the version that results from a change.
    /// @param change the change; its base version is that of this plan, or 0.
    /// @return the next version. Its digest tells whether the change fits this plan.
    plan_index with(const plan_change& change) const;

    /// Finds the route with the longest prefix that the path starts with.
    /// @param host the host, with or without a port.
    /// @param target path and query.
    /// @return the route, or null.
    const route_rule* match(std::string_view host, std::string_view target) const;

    /// @param name name of the route.
    /// @return the route, or null.
    const route_rule* route(std::string_view name) const;

    /// @param name name of the service.
    /// @return what the operators declare of it, or null.
    const service_rule* service(const std::string& name) const;

    /// @param name name of the client account.
    /// @return the account, or null.
    std::shared_ptr<const client_account> account(std::string_view name) const
    {
        return m_accounts.find(name);
    }

    /// @param key digest of a key.
    /// @return the client account that the key identifies, or null; null also when several accounts
    /// declare the key.
    std::shared_ptr<const client_account> account_with_key(const api_key_digest& key) const
    {
        return m_accounts.find_by_key(key);
    }

    std::uint64_t version() const { return m_version; }

    /// @return a checksum of the contents, whatever the versions by which they came about.
    std::uint64_t digest() const;

    const plan_properties& properties() const { return m_properties; }
    std::size_t route_count() const { return m_routes.size(); }
    std::size_t account_count() const { return m_accounts.size(); }

    /// @param next another plan.
    /// @return the change that makes it from this plan. Its digest is not set.
    plan_change difference_to(const routing_plan& next) const;

    /// Calls a function with each route, in no particular order.
    template <typename Function>
    void for_each_route(Function function) const
    {
        m_routes.for_each([&](const indexed_route& each) { function(each.rule); });
    }

    /// Calls a function with each client account, in no particular order.
    template <typename Function>
    void for_each_account(Function function) const
    {
        m_accounts.for_each(function);
    }

    const std::map<std::string, service_rule>& services() const { return *m_services; }

private:
    using service_map = std::map<std::string, service_rule>;

    /// A route with what its lookup needs.
    struct indexed_route {
        route_rule rule;
        std::string address; ///< Host in lower case and prefix; the prefix begins with a slash.
        std::uint64_t digest = 0;
    };

    void add_changed_accounts(const std::vector<client_account>& next, plan_change& change) const;
    void add_removed_routes(const std::vector<route_rule>& kept, plan_change& change) const;
    void add(const route_rule& rule);
    void remove(const std::string& name);
    void replace_at(const std::string& address);
    void set_services(service_map services);

    std::uint64_t m_version = 0;
    plan_properties m_properties;
    persistent_map<indexed_route> m_routes; ///< By name.
    /// By address. Of several routes with one address, the one with the greatest name.
    persistent_map<indexed_route> m_addresses;
    std::shared_ptr<const service_map> m_services = std::make_shared<service_map>();
    account_index m_accounts;
    std::uint64_t m_routes_digest = 0;
    std::uint64_t m_services_digest = 0;
};

} // namespace galenaroad
