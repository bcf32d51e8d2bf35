#include "fleet/plan_replica.h"

#include <algorithm>

namespace galenaroad {

namespace {

// Covers the growth of a plan by a fifth at the planned size of 80,000 routes, in 2 MB.
constexpr std::size_t max_log_entries = 16384;

const plan_index& empty_plan()
{
    static const plan_index empty;
    return empty;
}

} // namespace

void plan_replica::replace(const routing_plan& plan)
{
    const auto& earlier = m_plan ? *m_plan : empty_plan();
    const auto change = earlier.difference_to(plan);
    put_in_force(earlier.with(change), change);
}

bool plan_replica::apply(const plan_change& change)
{
    const bool is_whole = change.base_version == 0;
    if (change.version <= version() || (!is_whole && change.base_version != version())) {
        return false;
    }
    const auto& earlier = m_plan ? *m_plan : empty_plan();
    auto next = earlier.with(change);
    if (next.digest() != change.digest) {
        return false;
    }
    put_in_force(std::move(next), change);
    return true;
}

void plan_replica::put_in_force(plan_index next, const plan_change& change)
{
    const bool is_whole = change.base_version == 0;
    m_plan = std::make_shared<const plan_index>(std::move(next));
    if (is_whole) {
        m_log.clear();
        m_log_start = version();
        return;
    }
    const auto note = [this](plan_part::kind type, const std::string& name) {
        m_log.push_back({version(), {type, name}});
    };
    for (const auto& rule : change.routes) {
        note(plan_part::kind::route, rule.name);
    }
    for (const auto& name : change.removed_routes) {
        note(plan_part::kind::route, name);
    }
    for (const auto& [name, rule] : change.services) {
        note(plan_part::kind::service, name);
    }
    for (const auto& name : change.removed_services) {
        note(plan_part::kind::service, name);
    }
    for (const auto& account : change.accounts) {
        note(plan_part::kind::account, account.name);
    }
    for (const auto& name : change.removed_accounts) {
        note(plan_part::kind::account, name);
    }
    trim_log();
}

void plan_replica::trim_log()
{
    while (m_log.size() > max_log_entries) {
        m_log_start = m_log.front().version;
        while (!m_log.empty() && m_log.front().version == m_log_start) {
            m_log.pop_front();
        }
    }
}

std::optional<std::vector<plan_part>> plan_replica::parts_changed_since(std::uint64_t earlier) const
{
    if (!knows_changes_since(earlier)) {
        return {};
    }
    std::vector<plan_part> parts;
    for (auto each = m_log.rbegin(); each != m_log.rend() && each->version > earlier; ++each) {
        parts.push_back(each->part);
    }
    std::sort(parts.begin(), parts.end());
    parts.erase(std::unique(parts.begin(), parts.end()), parts.end());
    return parts;
}

} // namespace galenaroad
