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

void holder_authority::record_handover(const std::string& address, handover_state state,
                                       steady_time now)
{
    if (state != handover_state::not_yet) {
        m_handovers.try_emplace(address, handover{state == handover_state::done, now});
    }
}

handover_state holder_authority::hand_over_to(const std::string& address, steady_time now)
{
    if (m_members.find(address) == nullptr) {
        return handover_state::not_yet;
    }
    for (auto each = m_handed_over_at.begin(); each != m_handed_over_at.end();) {
        const bool is_over = now - each->second > absence_time;
        each = is_over ? m_handed_over_at.erase(each) : std::next(each);
    }
    m_handed_over_at[address] = now;
    m_absences.erase(address); // It runs.
    const auto* const own = m_members.find(m_own_address);
    const bool may_have_held = own != nullptr && now >= own->since + join_time;
    return may_have_held ? handover_state::done : handover_state::never_held;
}

const holder_authority::absence* holder_authority::latest_absence(const std::string& address,
                                                                  steady_time now) const
{
    const bool is_in_touch = now - m_contact_at <= absence_time;
    const auto found = m_absences.find(address);
    const bool is_recent = found != m_absences.end() && now - found->second.latest <= absence_time;
    return is_in_touch && is_recent ? &found->second : nullptr;
}

// The earlier holder goes on for some time, unless the one that has joined asks for the accounts.
bool holder_authority::has_joined_lately(const std::string& address, steady_time now) const
{
    const auto since = m_members.find(address)->since;
    const auto handed_over = m_handed_over_at.find(address);
    const bool has_asked = handed_over != m_handed_over_at.end() && handed_over->second >= since;
    return now - since <= absence_time && !has_asked;
}

holder_authority::right holder_authority::of(const std::string& account, steady_time now,
                                             const inquiries& ask) const
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
    int unknown = 0;
    for (auto each = order.begin(); each != own; ++each) {
        const auto* const found = latest_absence(*each, now);
        if (found != nullptr) {
            result.since = std::max(result.since, found->since);
        }
        else if (!has_joined_lately(*each, now)) {
            ++unknown;
        }
        ask.absence(*each);
    }
    const bool is_new = now < own_since + start_time;
    const bool is_first = unknown == 0 && !is_new;
    if (!is_first || awaits_handover({own + 1, order.end()}, result, now, ask)) {
        const bool is_deputy = unknown < quota_shares::deputies;
        result.kind = is_deputy ? quota_authority::deputy : quota_authority::none;
        result.since = own_since;
    }
    return result;
}

// The first daemon that had joined before and runs is the only one of these that may have been the
// holder: those after it know that it is in their way.
bool holder_authority::awaits_handover(const std::vector<std::string>& later, right& result,
                                       steady_time now, const inquiries& ask) const
{
    if (now >= m_members.find(m_own_address)->since + join_time) {
        return false;
    }
    bool is_open = false;
    for (const auto& each : later) {
        const auto found = m_handovers.find(each);
        if (found != m_handovers.end()) {
            result.since = std::max(result.since, found->second.at);
            if (found->second.has_held) {
                break;
            }
        }
        else if (latest_absence(each, now) == nullptr) {
            is_open = true;
            ask.absence(each);
            ask.handover(each);
        }
    }
    return is_open;
}

} // namespace galenaroad
