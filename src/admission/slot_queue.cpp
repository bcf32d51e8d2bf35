#include "admission/slot_queue.h"

#include <algorithm>
#include <cmath>

namespace galenaroad {

namespace {

using namespace std::chrono_literals;

constexpr auto max_wait = 50ms;
constexpr int max_queue_per_slot = 2;
// A request waits for at most a quarter of the time until its deadline.
constexpr int remaining_time_divisor = 4;
// Time after which the slot limit rises again by one slot.
constexpr auto shed_recovery_interval = 1s;
constexpr auto min_retry_after = 100ms;
constexpr auto max_retry_after = 5000ms;
constexpr double service_time_smoothing = 0.1;
// With 200,000 client accounts, the counts of one queue took 16 MB. Fairness needs only recent
// ones.
constexpr std::size_t max_tracked_callers = 256;

// Requests of a lower rank are displaced first: transfers before reads, and actions last.
int class_rank(request_class work)
{
    switch (work) {
    case request_class::action:
        return 2;
    case request_class::read:
        return 1;
    case request_class::transfer:
        break;
    }
    return 0;
}

} // namespace

slot_queue::slot_queue(int slots) : m_slots(std::max(slots, 1)), m_mean_service_time(25ms) {}

admission_decision slot_queue::offer(const admission_request& request, steady_time now)
{
    if (now >= request.deadline) {
        return {admission_state::refused, {}, error_kind::deadline_exceeded_before_run, 0ms};
    }
    if (m_waiting.empty() && m_in_use < limit(now)) {
        admit(request);
        return {admission_state::admitted, {}, error_kind::ok, 0ms};
    }
    return enqueue(request, now);
}

admission_decision slot_queue::enqueue(const admission_request& request, steady_time now)
{
    const auto capacity = static_cast<std::size_t>(m_slots) * max_queue_per_slot;
    if (m_waiting.size() >= capacity) {
        const auto victim = least_urgent();
        if (!is_more_urgent(request, *victim)) {
            return {admission_state::refused, {}, error_kind::upstream_busy, retry_after()};
        }
        m_displaced.push_back(victim->ticket);
        m_waiting.erase(victim);
    }
    m_waiting.push_back(request);
    const auto remaining = request.deadline - now;
    const auto wait = std::min<steady_time::duration>(max_wait, remaining / remaining_time_divisor);
    return {admission_state::queued, now + wait, error_kind::ok, 0ms};
}

std::vector<std::uint64_t> slot_queue::finish(steady_time started, steady_time now)
{
    --m_in_use;
    m_mean_service_time += service_time_smoothing *
                           (std::chrono::duration<double>(now - started) - m_mean_service_time);
    std::vector<std::uint64_t> admitted;
    while (!m_waiting.empty() && m_in_use < limit(now)) {
        const auto next = most_urgent();
        admitted.push_back(next->ticket);
        admit(*next);
        m_waiting.erase(next);
    }
    if (m_waiting.empty()) {
        m_recent_admissions.clear();
    }
    return admitted;
}

bool slot_queue::cancel(std::uint64_t ticket)
{
    const auto found = std::find_if(m_waiting.begin(), m_waiting.end(),
                                    [&](const auto& entry) { return entry.ticket == ticket; });
    if (found == m_waiting.end()) {
        return false;
    }
    m_waiting.erase(found);
    return true;
}

std::vector<std::uint64_t> slot_queue::take_displaced()
{
    std::vector<std::uint64_t> displaced;
    displaced.swap(m_displaced);
    return displaced;
}

void slot_queue::on_shed(steady_time now)
{
    m_shed_slots = std::min(m_slots - limit(now) + 1, m_slots - 1);
    m_last_shed = now;
}

void slot_queue::resize(int slots)
{
    m_slots = std::max(slots, 1);
    m_shed_slots = std::min(m_shed_slots, m_slots - 1);
}

int slot_queue::limit(steady_time now) const
{
    if (m_shed_slots == 0) {
        return m_slots;
    }
    const auto recovered = (now - m_last_shed) / shed_recovery_interval;
    return m_slots -
           std::max(0, m_shed_slots - static_cast<int>(std::min<long>(recovered, m_slots)));
}

std::chrono::milliseconds slot_queue::retry_after() const
{
    const double rounds = 1.0 + static_cast<double>(m_waiting.size()) / m_slots;
    const auto estimate =
        std::chrono::duration_cast<std::chrono::milliseconds>(m_mean_service_time * rounds);
    return std::clamp<std::chrono::milliseconds>(estimate, min_retry_after, max_retry_after);
}

slot_queue::waiting_list::iterator slot_queue::most_urgent()
{
    return std::min_element(m_waiting.begin(), m_waiting.end(),
                            [&](const auto& a, const auto& b) { return is_more_urgent(a, b); });
}

slot_queue::waiting_list::iterator slot_queue::least_urgent()
{
    return std::max_element(m_waiting.begin(), m_waiting.end(),
                            [&](const auto& a, const auto& b) { return is_more_urgent(a, b); });
}

bool slot_queue::is_more_urgent(const admission_request& a, const admission_request& b) const
{
    // A nested call occupies slots at its callers, so completing it frees the most capacity.
    if (a.depth != b.depth) {
        return a.depth > b.depth;
    }
    if (a.work != b.work) {
        return class_rank(a.work) > class_rank(b.work);
    }
    const auto admissions = [&](const std::string& caller) {
        const auto found = m_recent_admissions.find(caller);
        return found == m_recent_admissions.end() ? 0 : found->second;
    };
    return admissions(a.caller) < admissions(b.caller);
}

void slot_queue::admit(const admission_request& request)
{
    ++m_in_use;
    if (m_recent_admissions.size() >= max_tracked_callers) {
        m_recent_admissions.clear();
    }
    ++m_recent_admissions[request.caller];
}

} // namespace galenaroad
