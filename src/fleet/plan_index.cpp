#include "fleet/plan_index.h"

#include "fleet/plan_digest.h"

#include <Poco/String.h>
#include <unordered_set>

namespace galenaroad {

namespace {

std::string host_without_port(std::string_view host)
{
    return Poco::toLower(std::string(host.substr(0, host.find(':'))));
}

plan_properties properties_of(const routing_plan& plan)
{
    plan_properties properties;
    properties.limits = plan.limits;
    properties.error_count = plan.errors.size();
    properties.has_all_routes = plan.has_all_routes;
    properties.has_all_services = plan.has_all_services;
    properties.has_accounts = plan.has_accounts;
    properties.has_all_accounts = plan.has_all_accounts;
    return properties;
}

bool is_equal(const service_rule& a, const service_rule& b)
{
    return a.health_path == b.health_path && a.max_connections == b.max_connections;
}

} // namespace

plan_index::plan_index(const routing_plan& plan)
    : m_version(plan.version), m_properties(properties_of(plan))
{
    for (const auto& rule : plan.routes) {
        add(rule);
    }
    for (const auto& account : plan.accounts) {
        m_accounts.set(account);
    }
    set_services(plan.services);
}

plan_index plan_index::with(const plan_change& change) const
{
    auto next = change.base_version == 0 ? plan_index() : *this;
    next.m_version = change.version;
    next.m_properties = change.properties;
    for (const auto& name : change.removed_routes) {
        next.remove(name);
    }
    for (const auto& rule : change.routes) {
        next.add(rule);
    }
    for (const auto& name : change.removed_accounts) {
        next.m_accounts.erase(name);
    }
    for (const auto& account : change.accounts) {
        next.m_accounts.set(account);
    }
    if (!change.services.empty() || !change.removed_services.empty()) {
        auto services = *next.m_services;
        for (const auto& name : change.removed_services) {
            services.erase(name);
        }
        for (const auto& [name, rule] : change.services) {
            services[name] = rule;
        }
        next.set_services(std::move(services));
    }
    return next;
}

void plan_index::add(const route_rule& rule)
{
    remove(rule.name);
    auto added = std::make_shared<indexed_route>();
    added->rule = rule;
    added->address = Poco::toLower(rule.host) + rule.prefix;
    added->digest = plan_digest::of(rule);
    m_routes_digest += added->digest;
    const auto* const other = m_addresses.find(added->address);
    if (other == nullptr || other->rule.name < rule.name) {
        m_addresses.set(added->address, added);
    }
    m_routes.set(added->rule.name, added);
}

void plan_index::remove(const std::string& name)
{
    const auto* const held = m_routes.find(name);
    if (held == nullptr) {
        return;
    }
    m_routes_digest -= held->digest;
    const auto address = held->address;
    const auto* const at_address = m_addresses.find(address);
    const bool is_used = at_address != nullptr && at_address->rule.name == name;
    const bool has_unused = m_routes.size() > m_addresses.size();
    m_routes.erase(name);
    if (is_used) {
        m_addresses.erase(address);
    }
    if (is_used && has_unused) {
        replace_at(address);
    }
}

// Uses another route with the same address, if there is one. Such routes are a mistake of the
// operators and rare, so they are searched for rather than indexed.
void plan_index::replace_at(const std::string& address)
{
    const indexed_route* heir = nullptr;
    m_routes.for_each([&](const indexed_route& each) {
        if (each.address == address && (heir == nullptr || heir->rule.name < each.rule.name)) {
            heir = &each;
        }
    });
    if (heir != nullptr) {
        auto used = std::make_shared<indexed_route>(*heir);
        m_addresses.set(used->address, used);
    }
}

void plan_index::set_services(service_map services)
{
    m_services_digest = 0;
    for (const auto& [name, rule] : services) {
        m_services_digest += plan_digest::of(name, rule);
    }
    m_services = std::make_shared<service_map>(std::move(services));
}

std::uint64_t plan_index::digest() const
{
    return m_routes_digest + m_services_digest + m_accounts.digest() +
           plan_digest::of(m_properties);
}

const route_rule* plan_index::route(std::string_view name) const
{
    const auto* const found = m_routes.find(name);
    return found == nullptr ? nullptr : &found->rule;
}

const service_rule* plan_index::service(const std::string& name) const
{
    const auto found = m_services->find(name);
    return found == m_services->end() ? nullptr : &found->second;
}

plan_change plan_index::difference_to(const routing_plan& next) const
{
    plan_change change;
    change.base_version = m_version;
    change.version = next.version;
    change.properties = properties_of(next);
    for (const auto& rule : next.routes) {
        const auto* const held = m_routes.find(rule.name);
        if (held == nullptr || held->digest != plan_digest::of(rule)) {
            change.routes.push_back(rule);
        }
    }
    add_removed_routes(next.routes, change);
    for (const auto& [name, rule] : next.services) {
        const auto* const held = service(name);
        if (held == nullptr || !is_equal(*held, rule)) {
            change.services[name] = rule;
        }
    }
    for (const auto& [name, rule] : *m_services) {
        if (next.services.count(name) == 0) {
            change.removed_services.push_back(name);
        }
    }
    add_changed_accounts(next.accounts, change);
    return change;
}

void plan_index::add_changed_accounts(const std::vector<client_account>& next,
                                      plan_change& change) const
{
    std::unordered_set<std::string_view> names;
    for (const auto& account : next) {
        names.insert(account.name);
        if (!m_accounts.holds(account)) {
            change.accounts.push_back(account);
        }
    }
    m_accounts.for_each([&](const client_account& each) {
        if (names.count(each.name) == 0) {
            change.removed_accounts.push_back(each.name);
        }
    });
}

void plan_index::add_removed_routes(const std::vector<route_rule>& kept, plan_change& change) const
{
    std::unordered_set<std::string_view> names;
    for (const auto& rule : kept) {
        names.insert(rule.name);
    }
    m_routes.for_each([&](const indexed_route& each) {
        if (names.count(each.rule.name) == 0) {
            change.removed_routes.push_back(each.rule.name);
        }
    });
}

const route_rule* plan_index::match(std::string_view host, std::string_view target) const
{
    auto address = host_without_port(host);
    const auto host_size = address.size();
    address += target.substr(0, target.find('?'));
    // Prefixes end with a slash, so only the parts of the path up to a slash are looked up.
    while (address.size() > host_size) {
        const auto slash = address.rfind('/');
        if (slash == std::string::npos || slash < host_size) {
            return nullptr;
        }
        address.resize(slash + 1);
        if (const auto* const found = m_addresses.find(address)) {
            return &found->rule;
        }
        address.resize(slash);
    }
    return nullptr;
}

} // namespace galenaroad
