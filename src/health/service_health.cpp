#include "health/service_health.h"

#include <algorithm>

namespace galenaroad {

service_health::service_health(const detection_settings& settings) : m_detector(settings) {}

void service_health::on_announced(const upstream_id& id, steady_time now)
{
    m_detector.on_announced(id, now);
    tracked_upstream& added = m_upstreams[id];
    added = tracked_upstream{};
    added.hold.on_announced(now);
}

void service_health::assume_warm(const upstream_id& id)
{
    m_detector.assume_warm(id);
    m_upstreams[id];
}

void service_health::on_departed(const upstream_id& id)
{
    m_detector.on_departed(id);
    m_upstreams.erase(id);
}

void service_health::record(const upstream_id& id, const observation& attempt, steady_time now)
{
    m_detector.record(id, attempt, now);
}

void service_health::set_open_attempts(const upstream_id& id, std::vector<open_attempt> open)
{
    m_detector.set_open_attempts(id, std::move(open));
}

void service_health::discard_evidence(const upstream_id& id)
{
    m_detector.discard_evidence(id);
}

void service_health::on_owner_assessment(const upstream_id& id, const owner_assessment& assessment,
                                         steady_time now)
{
    const auto found = m_upstreams.find(id);
    if (found == m_upstreams.end()) {
        return;
    }
    tracked_upstream& tracked = found->second;
    tracked.reported_preference = assessment.preference;
    tracked.assessment_end = now + assessment_lifetime;
    if (assessment.hold_remaining.count() > 0) {
        tracked.hold.hold_until(now + assessment.hold_remaining, now);
        tracked.reason = "reported by its owner";
    }
}

void service_health::on_ejection_ended(const upstream_id& id, steady_time now)
{
    const auto found = m_upstreams.find(id);
    if (found != m_upstreams.end()) {
        found->second.hold.on_ejection_ended(now);
        m_detector.discard_evidence(id);
    }
}

void service_health::evaluate(steady_time now)
{
    for (auto& [id, tracked] : m_upstreams) {
        update_phase(id, tracked, now);
    }
    const auto verdicts = m_detector.evaluate(now);
    for (auto& [id, tracked] : m_upstreams) {
        tracked.verdict = verdicts.at(id);
        if (tracked.verdict.state == health_state::unhealthy && tracked.phase != hold_phase::held) {
            tracked.hold.on_unhealthy(now);
            tracked.phase = hold_phase::held;
            tracked.reason = tracked.verdict.reason();
        }
    }
}

// The probing phase starts without the evidence that led to the hold, so that only its own requests
// count.
void service_health::update_phase(const upstream_id& id, tracked_upstream& tracked, steady_time now)
{
    const hold_phase phase = tracked.hold.phase(now);
    if (phase == hold_phase::probing && tracked.phase == hold_phase::held) {
        m_detector.discard_evidence(id);
    }
    tracked.phase = phase;
}

double service_health::preference(const upstream_id& id, steady_time now) const
{
    const auto found = m_upstreams.find(id);
    if (found == m_upstreams.end()) {
        return 1.0;
    }
    const tracked_upstream& tracked = found->second;
    const double reported = now < tracked.assessment_end ? tracked.reported_preference : 1.0;
    return std::min({tracked.hold.preference(now), tracked.verdict.preference, reported});
}

owner_assessment service_health::assessment_of(const upstream_id& id, steady_time now) const
{
    owner_assessment assessment;
    const auto found = m_upstreams.find(id);
    if (found != m_upstreams.end()) {
        assessment.preference =
            std::min(found->second.hold.preference(now), found->second.verdict.preference);
        assessment.hold_remaining = std::chrono::duration_cast<std::chrono::milliseconds>(
            found->second.hold.remaining(now));
    }
    return assessment;
}

const health_verdict* service_health::verdict(const upstream_id& id) const
{
    const auto found = m_upstreams.find(id);
    return found == m_upstreams.end() ? nullptr : &found->second.verdict;
}

std::vector<ejection_candidate> service_health::ejection_candidates(steady_time now) const
{
    std::vector<ejection_candidate> candidates;
    for (const auto& [id, tracked] : m_upstreams) {
        if (tracked.hold.phase(now) == hold_phase::held) {
            candidates.push_back({id, tracked.reason});
        }
    }
    return candidates;
}

} // namespace galenaroad
