#include "load/account_slot_time.h"

#include <algorithm>
#include <cmath>

namespace galenaroad {

namespace {

using namespace std::chrono_literals;

// Bursts last for seconds; an account that sends as usual again is soon treated as usual.
constexpr std::chrono::duration<double> decay_time = 5s;
constexpr auto min_advance = 200ms;
// Accounts with less slot time than this no longer count for the average.
constexpr double min_seconds = 0.001;

} // namespace

void account_slot_time::advance(steady_time now)
{
    if (now - m_advanced_at < min_advance) {
        return;
    }
    const double factor =
        std::exp(-std::chrono::duration<double>(now - m_advanced_at) / decay_time);
    m_advanced_at = now;
    m_total_seconds = 0;
    for (auto each = m_seconds.begin(); each != m_seconds.end();) {
        each->second *= factor;
        if (each->second < min_seconds) {
            each = m_seconds.erase(each);
            continue;
        }
        m_total_seconds += each->second;
        ++each;
    }
}

void account_slot_time::record(const std::string& account, std::chrono::duration<double> slot_time)
{
    if (account.empty()) {
        return;
    }
    if (m_seconds.size() >= max_accounts && m_seconds.count(account) == 0) {
        forget_least();
    }
    m_seconds[account] += slot_time.count();
    m_total_seconds += slot_time.count();
}

void account_slot_time::forget_least()
{
    const auto least =
        std::min_element(m_seconds.begin(), m_seconds.end(),
                         [](const auto& a, const auto& b) { return a.second < b.second; });
    m_total_seconds -= least->second;
    m_seconds.erase(least);
}

bool account_slot_time::is_above_share(const std::string& account) const
{
    const auto found = m_seconds.find(account);
    if (found == m_seconds.end()) {
        return false;
    }
    const double average = m_total_seconds / static_cast<double>(m_seconds.size());
    return found->second > average * tolerated_multiple;
}

} // namespace galenaroad
