#include "load/account_slot_time.h"

#include <algorithm>
#include <cmath>

namespace galenaroad {

namespace {

using namespace std::chrono_literals;

// Bursts last for seconds; an account that sends as usual again is soon treated as usual.
constexpr std::chrono::duration<double> lately = 5s;
// Longer than a burst, so that a burst does not soon become usual.
constexpr std::chrono::duration<double> usually = 60s;
constexpr auto min_advance = 200ms;
// Accounts with less slot time than this no longer count for the average.
constexpr double min_seconds = 0.001;

} // namespace

void account_slot_time::advance(steady_time now)
{
    if (now - m_advanced_at < min_advance) {
        return;
    }
    const std::chrono::duration<double> step = now - m_advanced_at;
    const double lately_factor = std::exp(-step / lately);
    const double usually_factor = std::exp(-step / usually);
    m_advanced_at = now;
    m_total = {};
    for (auto each = m_used.begin(); each != m_used.end();) {
        each->second.lately *= lately_factor;
        each->second.usually *= usually_factor;
        if (each->second.usually < min_seconds) {
            each = m_used.erase(each);
            continue;
        }
        m_total.lately += each->second.lately;
        m_total.usually += each->second.usually;
        ++each;
    }
}

void account_slot_time::record(const std::string& account, std::chrono::duration<double> slot_time)
{
    if (account.empty()) {
        return;
    }
    if (m_used.size() >= max_accounts && m_used.count(account) == 0) {
        forget_least();
    }
    for (auto* const each : {&m_used[account], &m_total}) {
        each->lately += slot_time.count();
        each->usually += slot_time.count();
    }
}

void account_slot_time::forget_least()
{
    const auto least =
        std::min_element(m_used.begin(), m_used.end(), [](const auto& a, const auto& b) {
            return a.second.usually < b.second.usually;
        });
    m_total.lately -= least->second.lately;
    m_total.usually -= least->second.usually;
    m_used.erase(least);
}

bool account_slot_time::is_above_share(const std::string& account) const
{
    const auto found = m_used.find(account);
    if (found == m_used.end()) {
        return false;
    }
    const auto& used = found->second;
    const double average = m_total.lately / static_cast<double>(m_used.size());
    // The usual part of all slot time, applied to the latest total.
    const double usual = m_total.lately * used.usually / m_total.usually;
    return used.lately > average * average_multiple && used.lately > usual * usual_multiple;
}

} // namespace galenaroad
