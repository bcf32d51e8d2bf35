#include "load/slot_admission.h"

#include <algorithm>

namespace galenaroad {

namespace {

// Weight of the latest request in the moving average of the service time.
constexpr double service_time_weight = 0.1;

} // namespace

slot_verdict slot_admission::admit(const slot_request& request, steady_time now)
{
    m_queue.advance(now);
    if (m_running < m_slots && m_queue.size() == 0) {
        ++m_running;
        m_queue.record_start(request);
        m_saturated_since.reset();
        return slot_verdict::run;
    }
    if (!m_saturated_since) {
        m_saturated_since = now;
    }
    const bool waits = request.may_wait && m_queue.add(request, timing(), now);
    return waits ? slot_verdict::wait : slot_verdict::refuse;
}

std::vector<std::uint64_t> slot_admission::take_unservable(steady_time now)
{
    return m_queue.take_unservable(timing(), now);
}

bool slot_admission::withdraw(std::uint64_t ticket)
{
    return m_queue.withdraw(ticket);
}

void slot_admission::release()
{
    --m_running;
}

void slot_admission::record_service_time(std::chrono::nanoseconds service_time)
{
    ++m_samples;
    const std::chrono::duration<double> time = service_time;
    m_mean_service_time +=
        (time - m_mean_service_time) * std::max(service_time_weight, 1 / m_samples);
}

std::optional<std::uint64_t> slot_admission::next()
{
    if (m_running >= m_slots) {
        return {};
    }
    const auto first = m_queue.take_first();
    if (!first) {
        return {};
    }
    ++m_running;
    return first->ticket;
}

std::chrono::milliseconds slot_admission::expected_wait() const
{
    if (m_running < m_slots) {
        return std::chrono::milliseconds(0);
    }
    return std::chrono::duration_cast<std::chrono::milliseconds>(m_queue.expected_wait(timing()));
}

std::chrono::nanoseconds slot_admission::saturation_time(steady_time now) const
{
    return m_saturated_since ? now - *m_saturated_since : std::chrono::nanoseconds(0);
}

double slot_admission::load() const
{
    return static_cast<double>(m_running + waiting()) / std::max(m_slots, 1);
}

std::chrono::milliseconds slot_admission::mean_service_time() const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(m_mean_service_time);
}

} // namespace galenaroad
