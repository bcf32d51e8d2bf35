#include "proxy/open_attempt_table.h"

#include <utility>

namespace galenaroad {

open_attempt_table::guard::guard(open_attempt_table& table, running_attempt attempt)
    : m_table(table)
{
    const std::lock_guard<std::mutex> lock(m_table.m_mutex);
    m_number = m_table.m_next++;
    m_table.m_attempts.emplace(m_number, std::move(attempt));
}

open_attempt_table::guard::~guard()
{
    const std::lock_guard<std::mutex> lock(m_table.m_mutex);
    m_table.m_attempts.erase(m_number);
}

std::vector<running_attempt> open_attempt_table::attempts() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    std::vector<running_attempt> open;
    open.reserve(m_attempts.size());
    for (const auto& [number, attempt] : m_attempts) {
        open.push_back(attempt);
    }
    return open;
}

} // namespace galenaroad
