#include "load/health_report_buffer.h"

#include <algorithm>

namespace galenaroad {

namespace {

using namespace std::chrono_literals;

// How often each daemon sends a report. With a few receivers each time, the report reaches hundreds
// of daemons within a few rounds, since each receiver relays it as well.
constexpr int sends_per_report = 2;
// Older reports say little about the present health of an upstream.
constexpr auto max_age = 2s;

} // namespace

bool health_report_buffer::record_health(const std::string& owner, const owner_health& health,
                                         steady_time reported_at)
{
    const auto [found, is_new] = m_owners.try_emplace(owner);
    if (!is_new && found->second.reported_at >= reported_at) {
        return false;
    }
    auto newer_health = health;
    if (!is_new && !newer_health.last_outcome_age && found->second.health.last_outcome_age) {
        // A refusal carries no outcome; the age of the latest known one is kept.
        const auto elapsed = reported_at - found->second.reported_at;
        newer_health.last_outcome_age =
            *found->second.health.last_outcome_age +
            std::chrono::duration_cast<std::chrono::milliseconds>(elapsed);
    }
    found->second = {newer_health, reported_at, sends_per_report};
    return true;
}

std::vector<relayed_report> health_report_buffer::take_due(steady_time now)
{
    remove_expired(now);
    std::vector<std::pair<const std::string, buffered_health>*> due;
    for (auto& each : m_owners) {
        if (each.second.sends_left > 0) {
            due.push_back(&each);
        }
    }
    std::sort(due.begin(), due.end(), [](const auto* a, const auto* b) {
        return a->second.reported_at > b->second.reported_at;
    });
    due.resize(std::min(due.size(), max_reports));
    std::vector<relayed_report> reports;
    for (auto* const each : due) {
        --each->second.sends_left;
        const auto age =
            std::chrono::duration_cast<std::chrono::milliseconds>(now - each->second.reported_at);
        reports.push_back({each->first, each->second.health, age});
    }
    return reports;
}

void health_report_buffer::remove_expired(steady_time now)
{
    for (auto each = m_owners.begin(); each != m_owners.end();) {
        each = now - each->second.reported_at > max_age ? m_owners.erase(each) : std::next(each);
    }
}

} // namespace galenaroad
