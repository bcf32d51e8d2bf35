#include "relay/answer_store.h"

#include <iterator>

namespace galenaroad {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t max_attempts = 16384;
// Entry daemons ask before the deadline of their client, which is at most this much later.
constexpr auto answer_retention = 20s;

} // namespace

answer_store::answer_store(const clock& time, random_engine random)
    : m_clock(time),
      m_started_at(time.steady_now()),
      m_identity(std::to_string(random())),
      m_attempts(max_attempts)
{
}

std::string answer_store::token() const
{
    return m_identity + ':' + std::to_string(uptime().count());
}

start_decision answer_store::start(const std::string& attempt_id, steady_time deadline)
{
    return m_attempts.start(attempt_id, deadline, m_clock.steady_now());
}

void answer_store::finish(const std::string& attempt_id, kept_answer answer)
{
    drop_expired();
    m_attempts.finish(attempt_id, answer.head.status);
    const auto waiting = std::move(m_waiting[attempt_id]);
    m_waiting.erase(attempt_id);
    for (const auto& hook : waiting) {
        hook(answer);
    }
    keep(attempt_id, std::move(answer));
}

answer_state answer_store::look_up(const answer_query& query)
{
    drop_expired();
    const auto standing = m_attempts.fence(query.attempt_id, m_clock.steady_now());
    switch (standing.state) {
    case attempt_state::running:
        return answer_state::pending;
    case attempt_state::finished:
        return m_answers.count(query.attempt_id) > 0 ? answer_state::kept : answer_state::unknown;
    case attempt_state::not_run:
        return has_remembered_since(query.token) ? answer_state::not_run : answer_state::unknown;
    case attempt_state::unknown:
        break;
    }
    return answer_state::unknown;
}

void answer_store::when_finished(const std::string& attempt_id, answer_hook hook)
{
    m_waiting[attempt_id].push_back(std::move(hook));
}

// An attempt that was sent after the token was issued cannot have been forgotten yet.
bool answer_store::has_remembered_since(const std::string& token) const
{
    const auto separator = token.find(':');
    if (separator == std::string::npos || token.substr(0, separator) != m_identity) {
        return false;
    }
    const auto issued = http_head::parse_number(std::string_view(token).substr(separator + 1));
    if (!issued) {
        return false;
    }
    const auto since = uptime() - std::chrono::seconds(*issued);
    return since < attempt_registry::start_retention;
}

std::chrono::seconds answer_store::uptime() const
{
    return std::chrono::duration_cast<std::chrono::seconds>(m_clock.steady_now() - m_started_at);
}

void answer_store::keep(const std::string& attempt_id, kept_answer answer)
{
    const auto size = answer.body.size();
    if (size > max_body_bytes) {
        return;
    }
    while (m_bytes + size > max_total_bytes && !m_expiry.empty()) {
        drop(m_expiry.begin()->second);
        m_expiry.erase(m_expiry.begin());
    }
    m_bytes += size;
    m_answers[attempt_id] = std::move(answer);
    m_expiry.emplace(m_clock.steady_now() + answer_retention, attempt_id);
}

void answer_store::drop(const std::string& attempt_id)
{
    const auto found = m_answers.find(attempt_id);
    if (found == m_answers.end()) {
        return;
    }
    m_bytes -= found->second.body.size();
    m_answers.erase(found);
}

void answer_store::drop_expired()
{
    const auto end = m_expiry.upper_bound(m_clock.steady_now());
    for (auto each = m_expiry.begin(); each != end; ++each) {
        drop(each->second);
    }
    m_expiry.erase(m_expiry.begin(), end);
}

} // namespace galenaroad
