#include "accounts/holder_authority.h"

#include "accounts/quota_tolerance.h"

#include <algorithm>

namespace galenaroad {

holder_authority::holder_authority(holder_members& members, std::string own_address)
    : m_members(members), m_own_address(std::move(own_address))
{
}

void holder_authority::record_absence(const std::string& address, steady_time asked_at)
{
    for (auto each = m_absences.begin(); each != m_absences.end();) {
        const bool is_over = asked_at - each->second.latest > absence_time;
        each = is_over ? m_absences.erase(each) : std::next(each);
    }
    auto& held = m_absences.try_emplace(address, absence{asked_at, asked_at}).first->second;
    held.latest = std::max(held.latest, asked_at);
}

holder_authority::right
holder_authority::of(const std::string& account, steady_time now,
                     const std::function<void(const std::string&)>& find_out_absence) const
{
    const auto& order = m_members.ranked(account);
    const auto own = std::find(order.begin(), order.end(), m_own_address);
    if (own == order.end()) {
        return {};
    }
    const auto own_since = m_members.find(m_own_address)->since;
    right result{
        quota_authority::full,
        std::max(own_since + start_time, m_members.last_departure_before(m_own_address, account))};
    const bool is_in_touch = now - m_contact_at <= absence_time;
    int unknown = 0;
    for (auto each = order.begin(); each != own; ++each) {
        const auto found = m_absences.find(*each);
        const bool has_joined_lately = now - m_members.find(*each)->since <= absence_time;
        if (is_in_touch && found != m_absences.end() &&
            now - found->second.latest <= absence_time) {
            result.since = std::max(result.since, found->second.since);
        }
        else if (!has_joined_lately) {
            ++unknown;
        }
        find_out_absence(*each);
    }
    const bool is_new = now < own_since + start_time;
    if (unknown > 0 || is_new) {
        const bool is_deputy = unknown < quota_shares::deputies;
        result.kind = is_deputy ? quota_authority::deputy : quota_authority::none;
        result.since = own_since;
    }
    return result;
}

} // namespace galenaroad
