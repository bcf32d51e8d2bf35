#include "health/service_health.h"

#include <algorithm>

namespace galenaroad {

service_health::service_health(const detection_settings& settings) : m_detector(settings) {}

void service_health::announce(const upstream_id& id, steady_time now)
{
    m_detector.announce(id, now);
    standing& added = m_standings[id];
    added = standing{};
    added.hold.announced(now);
}

void service_health::assume_warm(const upstream_id& id)
{
    m_detector.assume_warm(id);
    m_standings[id];
}

void service_health::depart(const upstream_id& id)
{
    m_detector.depart(id);
    m_standings.erase(id);
}

void service_health::record(const upstream_id& id, const observation& attempt, steady_time now)
{
    m_detector.record(id, attempt, now);
}

void service_health::running(const upstream_id& id, std::vector<open_attempt> open)
{
    m_detector.running(id, std::move(open));
}

void service_health::discard_evidence(const upstream_id& id)
{
    m_detector.discard_evidence(id);
}

void service_health::report(const upstream_id& id, const owner_report& report, steady_time now)
{
    const auto found = m_standings.find(id);
    if (found == m_standings.end()) {
        return;
    }
    standing& known = found->second;
    known.reported_preference = report.preference;
    known.report_end = now + report_lifetime;
    if (report.hold_remaining.count() > 0) {
        known.hold.hold_until(now + report.hold_remaining, now);
        known.reason = "reported by its owner";
    }
}

void service_health::returned(const upstream_id& id, steady_time now)
{
    const auto found = m_standings.find(id);
    if (found != m_standings.end()) {
        found->second.hold.returned(now);
        m_detector.discard_evidence(id);
    }
}

void service_health::evaluate(steady_time now)
{
    for (auto& [id, known] : m_standings) {
        follow_phase(id, known, now);
    }
    const auto verdicts = m_detector.evaluate(now);
    for (auto& [id, known] : m_standings) {
        known.verdict = verdicts.at(id);
        if (known.verdict.state == health_state::sick && known.phase != hold_phase::held) {
            known.hold.sick(now);
            known.phase = hold_phase::held;
            known.reason = known.verdict.reason();
        }
    }
}

// A trial judges by its own traffic: the evidence that led to the hold is dropped.
void service_health::follow_phase(const upstream_id& id, standing& known, steady_time now)
{
    const hold_phase phase = known.hold.phase(now);
    if (phase == hold_phase::trial && known.phase == hold_phase::held) {
        m_detector.discard_evidence(id);
    }
    known.phase = phase;
}

double service_health::preference(const upstream_id& id, steady_time now) const
{
    const auto found = m_standings.find(id);
    if (found == m_standings.end()) {
        return 1.0;
    }
    const standing& known = found->second;
    const double reported = now < known.report_end ? known.reported_preference : 1.0;
    return std::min({known.hold.preference(now), known.verdict.preference, reported});
}

owner_report service_health::report_for(const upstream_id& id, steady_time now) const
{
    owner_report report;
    const auto found = m_standings.find(id);
    if (found != m_standings.end()) {
        report.preference =
            std::min(found->second.hold.preference(now), found->second.verdict.preference);
        report.hold_remaining = std::chrono::duration_cast<std::chrono::milliseconds>(
            found->second.hold.remaining(now));
    }
    return report;
}

const health_verdict* service_health::verdict(const upstream_id& id) const
{
    const auto found = m_standings.find(id);
    return found == m_standings.end() ? nullptr : &found->second.verdict;
}

std::vector<ejection_candidate> service_health::ejection_candidates(steady_time now) const
{
    std::vector<ejection_candidate> candidates;
    for (const auto& [id, known] : m_standings) {
        if (known.hold.phase(now) == hold_phase::held) {
            candidates.push_back({id, known.reason});
        }
    }
    return candidates;
}

} // namespace galenaroad
