#include "proxy/slot_gate.h"

namespace galenaroad {

slot_gate::slot_gate(int slots, const clock& time) : m_clock(time), m_queue(slots) {}

gate_outcome slot_gate::enter(admission_request request)
{
    std::unique_lock<std::mutex> lock(m_mutex);
    request.ticket = ++m_last_ticket;
    const auto decision = m_queue.offer(request, m_clock.steady_now());
    collect_displaced();
    if (decision.state == admission_state::admitted) {
        return {true};
    }
    if (decision.state == admission_state::refused) {
        return {false, decision.reason, decision.retry_after};
    }
    m_waiting[request.ticket] = ticket_state::waiting;
    return wait(lock, request, decision.wait_until);
}

gate_outcome slot_gate::wait(std::unique_lock<std::mutex>& lock, const admission_request& request,
                             steady_time until)
{
    auto& state = m_waiting[request.ticket];
    m_changed.wait_until(lock, until, [&] { return state != ticket_state::waiting; });
    const auto last = state;
    m_waiting.erase(request.ticket);
    if (last == ticket_state::admitted) {
        return {true};
    }
    if (last == ticket_state::waiting) {
        m_queue.cancel(request.ticket);
    }
    const bool is_late = m_clock.steady_now() >= request.deadline;
    return refused(is_late ? error_kind::deadline_exceeded_before_run : error_kind::upstream_busy);
}

void slot_gate::release(steady_time started)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    for (const auto ticket : m_queue.finish(started, m_clock.steady_now())) {
        m_waiting[ticket] = ticket_state::admitted;
    }
    collect_displaced();
    m_changed.notify_all();
}

void slot_gate::note_shed()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_queue.on_shed(m_clock.steady_now());
}

void slot_gate::resize(int slots)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_queue.resize(slots);
}

gate_load slot_gate::load() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return {m_queue.in_use(), m_queue.queued()};
}

void slot_gate::collect_displaced()
{
    const auto displaced = m_queue.take_displaced();
    for (const auto ticket : displaced) {
        m_waiting[ticket] = ticket_state::displaced;
    }
    if (!displaced.empty()) {
        m_changed.notify_all();
    }
}

gate_outcome slot_gate::refused(error_kind reason) const
{
    return {false, reason, m_queue.retry_after()};
}

} // namespace galenaroad
