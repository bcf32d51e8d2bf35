#include "experiment/detection_daemon.h"

#include <algorithm>

namespace galenaroad {

namespace {

bool is_candidate(const std::vector<ejection_candidate>& candidates, const upstream_id& id)
{
    return std::any_of(
        candidates.begin(), candidates.end(),
        [&](const ejection_candidate& candidate) { return candidate.upstream == id; });
}

} // namespace

detection_daemon::detection_daemon(int index, const detection_parameters& parameters,
                                   const clock& time, table_service& store)
    : m_index(index),
      m_parameters(parameters),
      m_clock(time),
      m_evaluations(detection_parameters::services),
      m_ledger(store, time, "i" + std::to_string(index) + ".1")
{
    for (int service = 0; service < detection_parameters::services; ++service) {
        m_health.emplace_back(parameters.detector());
        for (int instance = 0; instance < detection_parameters::instances; ++instance) {
            m_health.back().assume_warm(id_of(service, instance));
        }
    }
}

upstream_id detection_daemon::id_of(int service, int instance)
{
    return {"i" + std::to_string(instance), "s" + std::to_string(service)};
}

void detection_daemon::observe(int service, int instance, const observation& attempt)
{
    const upstream_id id = id_of(service, instance);
    const steady_time now = m_clock.steady_now();
    m_health[static_cast<std::size_t>(service)].record(id, attempt, now);
    error_run& run = m_errors[id];
    if (attempt.outcome == attempt_outcome::success) {
        run.failures = 0;
    }
    else if (attempt.outcome == attempt_outcome::failure && ++run.failures >= consecutive_limit) {
        run.failures = 0;
        run.excluded_until = now + consecutive_hold;
    }
}

fault_attribution detection_daemon::link(int service, int instance, link_event event)
{
    const upstream_id id = id_of(service, instance);
    const steady_time now = m_clock.steady_now();
    const bool was_failed = m_links.is_failed(id.instance, now);
    const fault_attribution found = m_links.record(id, event, now);
    if (found == fault_attribution::link && !was_failed) {
        for (int each = 0; each < detection_parameters::services; ++each) {
            m_health[static_cast<std::size_t>(each)].discard_evidence(id_of(each, instance));
        }
    }
    return found;
}

void detection_daemon::report(int service, int instance, const owner_assessment& report)
{
    m_health[static_cast<std::size_t>(service)].on_owner_assessment(id_of(service, instance),
                                                                    report, m_clock.steady_now());
}

owner_assessment detection_daemon::report_for(int service) const
{
    return m_health[static_cast<std::size_t>(service)].assessment_of(id_of(service, m_index),
                                                                     m_clock.steady_now());
}

void detection_daemon::running(int service, int instance, std::vector<open_attempt> open)
{
    const upstream_id id = id_of(service, instance);
    if (instance != m_index) {
        open.erase(std::remove_if(open.begin(), open.end(),
                                  [&](const open_attempt& attempt) {
                                      return !m_links.has_responded_since(id.instance,
                                                                          attempt.started);
                                  }),
                   open.end());
    }
    m_health[static_cast<std::size_t>(service)].set_open_attempts(id, std::move(open));
}

void detection_daemon::receive(const aged_row& row)
{
    m_view.receive(row, m_clock.steady_now());
}

std::vector<aged_row> detection_daemon::tick(const std::vector<service_capacity>& members,
                                             const std::vector<bool>& evaluates)
{
    std::vector<aged_row> written;
    const steady_time now = m_clock.steady_now();
    m_view.on_control_loop_run(now);
    for (int service = 0; service < detection_parameters::services; ++service) {
        const auto index = static_cast<std::size_t>(service);
        if (m_parameters.method == ejection_method::product ||
            m_parameters.method == ejection_method::independent) {
            m_health[index].evaluate(now);
        }
        if (m_parameters.method == ejection_method::product && evaluates[index]) {
            evaluate_service(service, members[index], written);
        }
        update_preferences(service, members[index]);
    }
    return written;
}

void detection_daemon::evaluate_service(int service, const service_capacity& members,
                                        std::vector<aged_row>& written)
{
    const auto index = static_cast<std::size_t>(service);
    const steady_time now = m_clock.steady_now();
    const auto candidates = m_health[index].ejection_candidates(now);
    service_evaluation& mine = m_evaluations[index];
    for (const ejection_command& order : mine.decide(members, candidates, false, now)) {
        const auto row = execute(order, m_ledger);
        if (!row) {
            continue;
        }
        if (order.kind == ejection_command_kind::propose) {
            mine.on_granted(order.upstream, now);
            m_decisions.push_back("i" + std::to_string(m_index) + " ejected " +
                                  order.upstream.instance + '/' + order.upstream.name + ": " +
                                  order.reason);
        }
        m_view.receive(*row, now);
        written.push_back(*row);
    }
}

void detection_daemon::update_preferences(int service, const service_capacity& members)
{
    const steady_time now = m_clock.steady_now();
    const auto eligibilities = m_view.eligibilities(members, now);
    for (int instance = 0; instance < detection_parameters::instances; ++instance) {
        const upstream_id id = id_of(service, instance);
        const auto eligibility = eligibilities.find(id);
        double& preference = m_preferences[id];
        if (eligibility == eligibilities.end()) {
            preference = -1; // Departed.
            continue;
        }
        const bool was_excluded = preference < 0;
        if (eligibility->second == upstream_eligibility::excluded) {
            preference = -1;
            continue;
        }
        if (was_excluded && m_parameters.method == ejection_method::product) {
            m_health[static_cast<std::size_t>(service)].on_ejection_ended(id, now);
        }
        preference = eligibility->second == upstream_eligibility::least_preferred
                         ? outlier_detector::unhealthy_preference
                         : local_preference(service, instance);
    }
}

double detection_daemon::local_preference(int service, int instance) const
{
    const upstream_id id = id_of(service, instance);
    const steady_time now = m_clock.steady_now();
    const service_health& health = m_health[static_cast<std::size_t>(service)];
    if (m_parameters.method == ejection_method::none) {
        return 1;
    }
    if (m_parameters.method == ejection_method::consecutive) {
        const auto run = m_errors.find(id);
        return run != m_errors.end() && now < run->second.excluded_until ? -1 : 1;
    }
    if (m_parameters.method == ejection_method::independent) {
        return is_candidate(health.ejection_candidates(now), id) ? -1 : 1;
    }
    const bool is_cut = m_links.is_failed(id.instance, now);
    return is_cut ? outlier_detector::unhealthy_preference : health.preference(id, now);
}

double detection_daemon::preference(int service, int instance) const
{
    const auto found = m_preferences.find(id_of(service, instance));
    return found == m_preferences.end() ? 1 : found->second;
}

std::vector<bool> detection_daemon::held(int service) const
{
    const auto candidates =
        m_health[static_cast<std::size_t>(service)].ejection_candidates(m_clock.steady_now());
    std::vector<bool> held(detection_parameters::instances);
    for (const ejection_candidate& candidate : candidates) {
        held[std::stoul(candidate.upstream.instance.substr(1))] = true;
    }
    return held;
}

} // namespace galenaroad
