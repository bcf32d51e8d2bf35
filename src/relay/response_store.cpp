#include "relay/response_store.h"

#include <iterator>

namespace galenaroad {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t max_attempts = 16384;
// Entry daemons query before the deadline of their client, which is at most this far ahead.
constexpr auto response_retention = 20s;

} // namespace

response_store::response_store(const clock& time, random_engine random)
    : m_clock(time),
      m_started_at(time.steady_now()),
      m_start_id(std::to_string(random())),
      m_attempts(max_attempts)
{
}

std::string response_store::token() const
{
    return m_start_id + ':' + std::to_string(uptime().count());
}

start_decision response_store::start(const std::string& attempt_id, steady_time deadline)
{
    return m_attempts.start(attempt_id, deadline, m_clock.steady_now());
}

void response_store::finish(const std::string& attempt_id, stored_response response)
{
    remove_expired();
    m_attempts.finish(attempt_id, response.head.status);
    const auto hooks = std::move(m_response_hooks[attempt_id]);
    m_response_hooks.erase(attempt_id);
    for (const auto& hook : hooks) {
        hook(response);
    }
    store(attempt_id, std::move(response));
}

response_state response_store::look_up(const response_query& query)
{
    remove_expired();
    const auto status = m_attempts.fence(query.attempt_id, m_clock.steady_now());
    switch (status.state) {
    case attempt_state::running:
        return response_state::pending;
    case attempt_state::finished:
        return m_responses.count(query.attempt_id) > 0 ? response_state::stored
                                                       : response_state::unknown;
    case attempt_state::not_run:
        return tracks_since(query.token) ? response_state::not_run : response_state::unknown;
    case attempt_state::unknown:
        break;
    }
    return response_state::unknown;
}

void response_store::when_finished(const std::string& attempt_id, response_hook hook)
{
    m_response_hooks[attempt_id].push_back(std::move(hook));
}

// Within the retention time, no attempt sent after the token was issued has been removed from the
// registry.
bool response_store::tracks_since(const std::string& token) const
{
    const auto separator = token.find(':');
    if (separator == std::string::npos || token.substr(0, separator) != m_start_id) {
        return false;
    }
    const auto issued = http_head::parse_number(std::string_view(token).substr(separator + 1));
    if (!issued) {
        return false;
    }
    const auto token_age = uptime() - std::chrono::seconds(*issued);
    return token_age < attempt_registry::start_retention;
}

std::chrono::seconds response_store::uptime() const
{
    return std::chrono::duration_cast<std::chrono::seconds>(m_clock.steady_now() - m_started_at);
}

void response_store::store(const std::string& attempt_id, stored_response response)
{
    const auto size = response.body.size();
    if (size > max_body_bytes) {
        return;
    }
    while (m_bytes + size > max_total_bytes && !m_expiry.empty()) {
        remove(m_expiry.begin()->second);
        m_expiry.erase(m_expiry.begin());
    }
    m_bytes += size;
    m_responses[attempt_id] = std::move(response);
    m_expiry.emplace(m_clock.steady_now() + response_retention, attempt_id);
}

void response_store::remove(const std::string& attempt_id)
{
    const auto found = m_responses.find(attempt_id);
    if (found == m_responses.end()) {
        return;
    }
    m_bytes -= found->second.body.size();
    m_responses.erase(found);
}

void response_store::remove_expired()
{
    const auto end = m_expiry.upper_bound(m_clock.steady_now());
    for (auto each = m_expiry.begin(); each != end; ++each) {
        remove(each->second);
    }
    m_expiry.erase(m_expiry.begin(), end);
}

} // namespace galenaroad
