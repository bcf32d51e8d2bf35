#include "relay/attempt_registry.h"

namespace galenaroad {

attempt_registry::attempt_registry(std::size_t capacity) : m_capacity(capacity) {}

start_decision attempt_registry::start(const std::string& id, steady_time deadline, steady_time now)
{
    forget_expired(now);
    const auto found = m_attempts.find(id);
    if (found != m_attempts.end()) {
        return found->second.state == attempt_state::not_run ? start_decision::fenced
                                                             : start_decision::duplicate;
    }
    if (now >= deadline) {
        return start_decision::expired;
    }
    const bool is_remembered = remember(id, attempt_state::running, deadline + start_retention);
    return is_remembered ? start_decision::started : start_decision::table_full;
}

void attempt_registry::finish(const std::string& id, int status)
{
    const auto found = m_attempts.find(id);
    if (found != m_attempts.end()) {
        found->second = {attempt_state::finished, status};
    }
}

attempt_status attempt_registry::fence(const std::string& id, steady_time now)
{
    forget_expired(now);
    const auto found = m_attempts.find(id);
    if (found != m_attempts.end()) {
        return found->second;
    }
    if (!remember(id, attempt_state::not_run, now + fence_retention)) {
        return {};
    }
    return {attempt_state::not_run};
}

void attempt_registry::forget_expired(steady_time now)
{
    const auto end = m_expiry.upper_bound(now);
    for (auto each = m_expiry.begin(); each != end; ++each) {
        m_attempts.erase(each->second);
    }
    m_expiry.erase(m_expiry.begin(), end);
}

bool attempt_registry::remember(const std::string& id, attempt_state state, steady_time until)
{
    if (m_attempts.size() >= m_capacity) {
        return false;
    }
    m_attempts.emplace(id, attempt_status{state});
    m_expiry.emplace(until, id);
    return true;
}

} // namespace galenaroad
