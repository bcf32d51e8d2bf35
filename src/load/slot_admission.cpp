#include "load/slot_admission.h"

#include <algorithm>

namespace galenaroad {

namespace {

// Weight of the latest request in the moving average of the service time.
constexpr double service_time_weight = 0.1;
// Service times vary: most requests are served within this multiple of their average.
constexpr double admission_service_time_factor = 1.5;
// A waiting request is kept as long as it would be in time if it took the average service time.
constexpr double min_service_time_factor = 1.0;

} // namespace

slot_verdict slot_admission::admit(const slot_request& request, steady_time now)
{
    if (m_running < m_slots && m_waiting.empty()) {
        ++m_running;
        m_saturated_since.reset();
        return slot_verdict::run;
    }
    if (!m_saturated_since) {
        m_saturated_since = now;
    }
    if (!request.may_wait) {
        return slot_verdict::refuse;
    }
    const queue_key key{request.priority, request.deadline, request.ticket};
    const auto ahead = std::distance(m_waiting.begin(), m_waiting.lower_bound(key));
    const auto wait = m_mean_service_time * (static_cast<double>(ahead) + 1) / std::max(m_slots, 1);
    const auto needed = wait + request.service_time * admission_service_time_factor;
    if (now + std::chrono::duration_cast<steady_time::duration>(needed) > request.deadline) {
        return slot_verdict::refuse;
    }
    m_waiting.emplace(key, request.service_time);
    return slot_verdict::wait;
}

std::vector<std::uint64_t> slot_admission::take_unservable(steady_time now)
{
    std::vector<std::uint64_t> unservable;
    double position = 0;
    for (auto each = m_waiting.begin(); each != m_waiting.end();) {
        const auto wait = m_mean_service_time * (position + 1) / std::max(m_slots, 1);
        const auto needed = wait + each->second * min_service_time_factor;
        const auto completion = now + std::chrono::duration_cast<steady_time::duration>(needed);
        if (completion <= std::get<steady_time>(each->first)) {
            ++position;
            ++each;
            continue;
        }
        unservable.push_back(std::get<std::uint64_t>(each->first));
        each = m_waiting.erase(each);
    }
    return unservable;
}

bool slot_admission::withdraw(std::uint64_t ticket)
{
    const auto found = std::find_if(m_waiting.begin(), m_waiting.end(), [&](const auto& each) {
        return std::get<std::uint64_t>(each.first) == ticket;
    });
    if (found == m_waiting.end()) {
        return false;
    }
    m_waiting.erase(found);
    return true;
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
    if (m_running >= m_slots || m_waiting.empty()) {
        return {};
    }
    const auto ticket = std::get<std::uint64_t>(m_waiting.begin()->first);
    m_waiting.erase(m_waiting.begin());
    ++m_running;
    return ticket;
}

std::chrono::milliseconds slot_admission::expected_wait() const
{
    if (m_running < m_slots) {
        return std::chrono::milliseconds(0);
    }
    const auto wait =
        m_mean_service_time * (static_cast<double>(m_waiting.size()) + 1) / std::max(m_slots, 1);
    return std::chrono::duration_cast<std::chrono::milliseconds>(wait);
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
