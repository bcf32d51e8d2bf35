#include "relay/slot_admission.h"

#include <algorithm>

namespace galenaroad {

namespace {

// Weight of one request in the average service time, once there have been several.
constexpr double service_weight = 0.1;
// Service times scatter: most requests are served within this multiple of their average.
constexpr double usual_part_of_service = 1.5;
// A request that already waits keeps its place while an average one could still be in time.
constexpr double least_part_of_service = 1.0;

} // namespace

slot_verdict slot_admission::ask(const slot_request& request, steady_time now)
{
    if (m_running < m_slots && m_waiting.empty()) {
        ++m_running;
        m_full_since.reset();
        return slot_verdict::run;
    }
    if (!m_full_since) {
        m_full_since = now;
    }
    if (!request.may_wait) {
        return slot_verdict::refuse;
    }
    const waiting_key key{request.priority, request.deadline, request.ticket};
    const auto ahead = std::distance(m_waiting.begin(), m_waiting.lower_bound(key));
    const auto wait = m_mean_service * (static_cast<double>(ahead) + 1) / std::max(m_slots, 1);
    const auto needed = wait + request.service_time * usual_part_of_service;
    if (now + std::chrono::duration_cast<steady_time::duration>(needed) > request.deadline) {
        return slot_verdict::refuse;
    }
    m_waiting.emplace(key, request.service_time);
    return slot_verdict::wait;
}

std::vector<std::uint64_t> slot_admission::take_hopeless(steady_time now)
{
    std::vector<std::uint64_t> hopeless;
    double place = 0;
    for (auto each = m_waiting.begin(); each != m_waiting.end();) {
        const auto wait = m_mean_service * (place + 1) / std::max(m_slots, 1);
        const auto needed = wait + each->second * least_part_of_service;
        const auto ready = now + std::chrono::duration_cast<steady_time::duration>(needed);
        if (ready <= std::get<steady_time>(each->first)) {
            ++place;
            ++each;
            continue;
        }
        hopeless.push_back(std::get<std::uint64_t>(each->first));
        each = m_waiting.erase(each);
    }
    return hopeless;
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

void slot_admission::note_service(std::chrono::nanoseconds served)
{
    ++m_samples;
    const std::chrono::duration<double> time = served;
    m_mean_service += (time - m_mean_service) * std::max(service_weight, 1 / m_samples);
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
        m_mean_service * (static_cast<double>(m_waiting.size()) + 1) / std::max(m_slots, 1);
    return std::chrono::duration_cast<std::chrono::milliseconds>(wait);
}

std::chrono::nanoseconds slot_admission::full_for(steady_time now) const
{
    return m_full_since ? now - *m_full_since : std::chrono::nanoseconds(0);
}

double slot_admission::load() const
{
    return static_cast<double>(m_running + waiting()) / std::max(m_slots, 1);
}

std::chrono::milliseconds slot_admission::mean_service() const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(m_mean_service);
}

} // namespace galenaroad
