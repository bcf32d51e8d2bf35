#include "proxy/bounded_claim.h"

#include <utility>

namespace galenaroad {

bounded_claim::bounded_claim(std::shared_ptr<action_services> services, action_request request,
                             route declared)
    : m_services(std::move(services)),
      m_request(std::move(request)),
      m_declared(std::move(declared))
{
}

action_decision bounded_claim::decide(store_executor& executor,
                                      std::chrono::milliseconds longest_wait)
{
    if (!executor.post([self = shared_from_this()] { self->ask(); })) {
        return refusal();
    }
    std::unique_lock<std::mutex> lock(m_mutex);
    if (m_changed.wait_for(lock, longest_wait, [this] { return m_decision.has_value(); })) {
        return std::move(*m_decision);
    }
    m_is_given_up = true;
    return refusal();
}

void bounded_claim::ask()
{
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        if (m_is_given_up) {
            return;
        }
    }
    auto decision = m_services->gate().decide(m_request, m_declared);
    const auto ticket = decision.ticket;
    const bool is_won = decision.kind == action_decision_kind::run;
    std::unique_lock<std::mutex> lock(m_mutex);
    m_decision = std::move(decision);
    const bool is_too_late = m_is_given_up;
    lock.unlock();
    m_changed.notify_one();
    if (is_too_late && is_won) {
        m_services->gate().not_run(ticket, not_run_proof::never_dispatched);
    }
}

action_decision bounded_claim::refusal()
{
    action_decision refused;
    refused.kind = action_decision_kind::refuse;
    refused.error = error_kind::store_unavailable;
    return refused;
}

} // namespace galenaroad
