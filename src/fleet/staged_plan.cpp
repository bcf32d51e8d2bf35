#include "fleet/staged_plan.h"

namespace galenaroad {

staged_plan::staged_plan(const plan_index* base, const plan_change& first)
    : m_base_version(first.base_version), m_digest(first.digest)
{
    if (base != nullptr && m_base_version > 0) {
        m_plan = *base;
    }
    add(first);
}

void staged_plan::add(const plan_change& page)
{
    m_plan.apply(page);
    m_route_count += page.routes.size();
    m_account_count += page.accounts.size();
    if (m_base_version > 0) {
        const auto parts = parts_of(page);
        m_parts.insert(m_parts.end(), parts.begin(), parts.end());
    }
}

} // namespace galenaroad
