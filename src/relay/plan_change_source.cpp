#include "relay/plan_change_source.h"

#include <algorithm>

namespace galenaroad {

namespace {

constexpr char route_prefix = 'r';
constexpr char service_prefix = 's';
constexpr char account_prefix = 'a';

char prefix_of(plan_part::kind type)
{
    switch (type) {
    case plan_part::kind::service:
        return service_prefix;
    case plan_part::kind::account:
        return account_prefix;
    case plan_part::kind::route:
        break;
    }
    return route_prefix;
}

plan_part::kind kind_from(char prefix)
{
    if (prefix == service_prefix) {
        return plan_part::kind::service;
    }
    return prefix == account_prefix ? plan_part::kind::account : plan_part::kind::route;
}

std::vector<plan_part> all_parts(const plan_index& plan)
{
    std::vector<plan_part> parts;
    parts.reserve(plan.route_count() + plan.services().size() + plan.account_count());
    for (const auto& [name, rule] : plan.services()) {
        parts.push_back({plan_part::kind::service, name});
    }
    plan.for_each_route([&](const route_rule& rule) {
        parts.push_back({plan_part::kind::route, rule.name});
    });
    plan.for_each_account([&](const client_account& account) {
        parts.push_back({plan_part::kind::account, account.name});
    });
    std::sort(parts.begin(), parts.end());
    return parts;
}

} // namespace

plan_change_source::plan_change_source(const plan_replica& plans, std::uint64_t base_version)
    : m_base_version(base_version), m_plan(plans.in_force())
{
    auto changed = plans.parts_changed_since(base_version);
    if (changed) {
        m_parts = std::move(*changed);
        return;
    }
    m_base_version = 0;
    m_parts = all_parts(*m_plan);
}

std::string plan_change_source::position_of(const plan_part& part)
{
    return prefix_of(part.type) + part.name;
}

// Names instead of numbers: a peer continues at the same name when it gets the next page from a
// daemon whose log lists other parts as changed.
std::size_t plan_change_source::index_of(const std::string& position) const
{
    if (position.empty()) {
        return 0;
    }
    const plan_part part{kind_from(position.front()), position.substr(1)};
    const auto found = std::lower_bound(m_parts.begin(), m_parts.end(), part);
    return static_cast<std::size_t>(found - m_parts.begin());
}

const shared_body& plan_change_source::page(const std::string& position)
{
    const auto [found, is_new] = m_pages.try_emplace(position);
    if (is_new) {
        found->second = plan_page_codec::encode(make_page(position));
    }
    return found->second;
}

bool plan_change_source::is_last(const std::string& position) const
{
    return m_parts.size() - index_of(position) <= parts_per_page;
}

plan_page plan_change_source::make_page(const std::string& position) const
{
    plan_page page;
    page.position = position;
    page.part.base_version = m_base_version;
    page.part.version = m_plan->version();
    page.part.digest = m_plan->digest();
    page.part.properties = m_plan->properties();
    const auto begin = index_of(position);
    const auto end = std::min(begin + parts_per_page, m_parts.size());
    for (auto each = begin; each < end; ++each) {
        add(m_parts[each], page.part);
    }
    if (end < m_parts.size()) {
        page.next_position = position_of(m_parts[end]);
    }
    return page;
}

void plan_change_source::add(const plan_part& part, plan_change& change) const
{
    if (part.type == plan_part::kind::service) {
        if (const auto* const rule = m_plan->service(part.name)) {
            change.services[part.name] = *rule;
        }
        else {
            change.removed_services.push_back(part.name);
        }
        return;
    }
    if (part.type == plan_part::kind::account) {
        if (const auto account = m_plan->account(part.name)) {
            change.accounts.push_back(*account);
        }
        else {
            change.removed_accounts.push_back(part.name);
        }
        return;
    }
    if (const auto* const rule = m_plan->route(part.name)) {
        change.routes.push_back(*rule);
    }
    else {
        change.removed_routes.push_back(part.name);
    }
}

} // namespace galenaroad
