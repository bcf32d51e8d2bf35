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
    const bool is_whole = change.base_version == 0;
    put_in_force(earlier.with(change), is_whole, parts_of(change));
}

bool plan_replica::apply(const plan_change& change)
{
    return can_apply(change.base_version, change.version) &&
           apply(staged_plan(m_plan.get(), change));
}

bool plan_replica::apply(const staged_plan& staged)
{
    if (!can_apply(staged.base_version(), staged.version()) || !staged.is_complete()) {
        return false;
    }
    put_in_force(staged.plan(), staged.base_version() == 0, staged.changed_parts());
    return true;
}

bool plan_replica::can_apply(std::uint64_t base_version, std::uint64_t next_version) const
{
    return next_version > version() && (base_version == 0 || base_version == version());
}

void plan_replica::put_in_force(plan_index next, bool is_whole, const std::vector<plan_part>& parts)
{
    m_plan = std::make_shared<const plan_index>(std::move(next));
    if (is_whole) {
        m_log.clear();
        m_log_start = version();
        return;
    }
    for (const auto& part : parts) {
        m_log.push_back({version(), part});
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
