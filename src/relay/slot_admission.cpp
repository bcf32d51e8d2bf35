#include "relay/slot_admission.h"

#include <algorithm>

namespace galenaroad {

namespace {

// Weight of one request in the average service time.
constexpr double service_weight = 0.1;
// A request that could only just be finished by its deadline is still worth a slot, since service
// times scatter: only a part of the average is required.
constexpr double required_part_of_service = 0.5;

} // namespace

slot_verdict slot_admission::ask(const slot_request& request, steady_time now)
{
    if (m_running < m_slots && m_waiting.empty()) {
        ++m_running;
        return slot_verdict::run;
    }
    if (!request.may_wait) {
        return slot_verdict::refuse;
    }
    const waiting_key key{rank(request), request.deadline, request.ticket};
    const auto ahead = std::distance(m_waiting.begin(), m_waiting.lower_bound(key));
    const auto wait = m_mean_service * (static_cast<double>(ahead) + 1) / std::max(m_slots, 1);
    const auto needed = wait + m_mean_service * required_part_of_service;
    if (now + std::chrono::duration_cast<steady_time::duration>(needed) > request.deadline) {
        return slot_verdict::refuse;
    }
    m_waiting.insert(key);
    return slot_verdict::wait;
}

bool slot_admission::withdraw(std::uint64_t ticket)
{
    const auto found = std::find_if(m_waiting.begin(), m_waiting.end(), [&](const auto& key) {
        return std::get<std::uint64_t>(key) == ticket;
    });
    if (found == m_waiting.end()) {
        return false;
    }
    m_waiting.erase(found);
    return true;
}

void slot_admission::release(std::chrono::nanoseconds served)
{
    --m_running;
    const std::chrono::duration<double> time = served;
    m_mean_service += (time - m_mean_service) * service_weight;
}

std::optional<std::uint64_t> slot_admission::next()
{
    if (m_running >= m_slots || m_waiting.empty()) {
        return {};
    }
    const auto ticket = std::get<std::uint64_t>(*m_waiting.begin());
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
        m_mean_service * (static_cast<double>(m_waiting.size()) + 1) / std::max(m_slots, 1);
    return std::chrono::duration_cast<std::chrono::milliseconds>(wait);
}

double slot_admission::load() const
{
    return static_cast<double>(m_running + waiting()) / std::max(m_slots, 1);
}

std::chrono::milliseconds slot_admission::mean_service() const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(m_mean_service);
}

int slot_admission::rank(const slot_request& request)
{
    return request.is_nested ? -1 : request.priority;
}

} // namespace galenaroad
