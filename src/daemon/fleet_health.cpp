#include "daemon/fleet_health.h"

#include "health/evaluator_selection.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace galenaroad {

namespace {

// Rows travel with the time for which they are still of use.
constexpr auto row_lifetime = ejection_row::validity + ejection_row::grace_period;
// Smaller changes of a preference do not justify a new routing snapshot.
constexpr double least_change = 0.02;
constexpr std::chrono::seconds report_interval(1);
constexpr std::chrono::milliseconds suspect_report_interval(250);
constexpr std::array<request_class, upstream_window::class_count> all_classes{
    request_class::read, request_class::action, request_class::transfer};

} // namespace

fleet_health::fleet_health(std::string own_name, const clock& time)
    : m_own_name(std::move(own_name)), m_clock(time)
{
}

void fleet_health::update(std::shared_ptr<const membership_view> members,
                          std::shared_ptr<const configuration_snapshot> contracts)
{
    m_members = std::move(members);
    m_contracts = std::move(contracts);
    const auto* own = m_members->find(m_own_name);
    if (own != nullptr) {
        for (const auto& announced : own->record->upstreams) {
            track(*announced.service).is_owned = true;
        }
    }
    update_capacities();
}

void fleet_health::observe(const attempt_observation& ended)
{
    const auto now = m_clock.steady_now();
    auto& tracked = track(ended.service);
    tracked.last_use = now;
    if (ended.has_report) {
        tracked.health.on_owner_assessment(ended.target, ended.report, now);
    }
    if (!ended.is_evidence || !counts(ended.target, ended.by_owner)) {
        return;
    }
    if (ended.by_owner) {
        tracked.health.record(ended.target, ended.attempt, now);
        return;
    }
    const bool was_failed = m_links.is_failed(ended.target.instance, now);
    const auto fault = m_links.record(ended.target, ended.link, now);
    if (fault != fault_attribution::link) {
        tracked.health.record(ended.target, ended.attempt, now);
        return;
    }
    if (!was_failed) {
        tracked.health.discard_evidence(ended.target);
    }
}

void fleet_health::receive(const ejection_row_copy& copy)
{
    auto row = ejection_row::parse(copy.row);
    if (!row) {
        return;
    }
    const auto age = std::max(row_lifetime - copy.remaining, std::chrono::milliseconds(0));
    if (m_view.receive({std::move(*row), age}, m_clock.steady_now())) {
        track(copy.service);
    }
}

ejection_row_copy fleet_health::written(const ejection_command& order, const aged_row& row)
{
    const auto now = m_clock.steady_now();
    m_view.receive(row, now);
    if (order.kind == ejection_command_kind::propose) {
        track(row.row.service).evaluation.on_granted(order.upstream, now);
    }
    return {row.row.service, row.row.sequence, row.row.text(), row_lifetime - row.age};
}

std::vector<ejection_command> fleet_health::tick(const std::vector<running_attempt>& open)
{
    std::vector<ejection_command> orders;
    if (!m_members) {
        return orders;
    }
    const auto now = m_clock.steady_now();
    m_view.on_control_loop_run(now);
    forget_idle();
    if (m_has_new_services) {
        update_capacities();
    }
    pass_open_attempts(open);
    for (auto& [service, tracked] : m_services) {
        tracked.health.evaluate(now);
        if (tracked.is_evaluator) {
            const auto candidates = tracked.health.ejection_candidates(now);
            for (auto& order : tracked.evaluation.decide(tracked.capacity, candidates,
                                                         m_view.has_drains(service), now)) {
                orders.push_back(std::move(order));
            }
        }
        if (tracked.is_owned && is_report_due(tracked)) {
            report_levels(service, tracked);
        }
        update_preferences(service, tracked);
    }
    return orders;
}

bool fleet_health::is_report_due(const tracked_service& tracked) const
{
    const auto is_suspected = [&](const capacity_member& each) {
        const auto* verdict = tracked.health.verdict(each.upstream);
        return each.upstream.instance == m_own_name && verdict != nullptr &&
               verdict->state != health_state::healthy;
    };
    const auto& members = tracked.capacity.members;
    const bool is_urgent = std::any_of(members.begin(), members.end(), is_suspected);
    const auto interval =
        is_urgent ? suspect_report_interval : std::chrono::milliseconds(report_interval);
    return m_clock.steady_now() - tracked.reported >= interval;
}

void fleet_health::report_levels(const service_id& service, tracked_service& tracked)
{
    const auto now = m_clock.steady_now();
    tracked.reported = now;
    for (const auto& each : tracked.capacity.members) {
        const auto* window = tracked.health.window(each.upstream);
        if (each.upstream.instance != m_own_name || window == nullptr) {
            continue;
        }
        statistics_report report{
            service, each.upstream, {}, tracked.health.assessment_of(each.upstream, now)};
        for (const auto work : all_classes) {
            const auto statistics = statistics_of(*window, work, now);
            if (statistics.evaluated > 0) {
                report.statistics.push_back({work, statistics});
            }
        }
        if (tracked.is_evaluator) {
            set_references(report, answer(report));
        }
        else if (!tracked.evaluator_address.empty()) {
            m_reports.push_back({tracked.evaluator_address, std::move(report)});
        }
    }
}

service_capacity fleet_health::capacity_of(const service_id& service)
{
    const auto& tracked = track(service);
    if (m_has_new_services && m_members) {
        update_capacities();
    }
    return tracked.capacity;
}

std::vector<outgoing_statistics_report> fleet_health::take_level_reports()
{
    return std::exchange(m_reports, {});
}

std::vector<class_reference> fleet_health::answer(const statistics_report& report)
{
    const auto now = m_clock.steady_now();
    auto& tracked = track(report.service);
    if (report.upstream.instance != m_own_name) {
        tracked.health.on_owner_assessment(report.upstream, report.assessment, now);
    }
    tracked.levels.receive(report.upstream, report.statistics, now);
    return tracked.levels.references_for(report.upstream, now);
}

void fleet_health::set_references(const statistics_report& report,
                                  const std::vector<class_reference>& references)
{
    const auto tracked = m_services.find(report.service);
    if (tracked == m_services.end()) {
        return;
    }
    for (const auto& each : references) {
        tracked->second.health.set_reference(report.upstream, each.work, each.reference,
                                             m_clock.steady_now());
    }
}

std::set<service_id> fleet_health::take_changed()
{
    return std::exchange(m_changed, {});
}

double fleet_health::preference(const service_id& service, const upstream_id& upstream) const
{
    const auto tracked = m_services.find(service);
    if (tracked == m_services.end()) {
        return 1.0;
    }
    const auto found = tracked->second.preferences.find(upstream);
    return found == tracked->second.preferences.end() ? 1.0 : found->second;
}

owner_assessment fleet_health::report_for(const service_id& service,
                                          const upstream_id& upstream) const
{
    const auto tracked = m_services.find(service);
    if (tracked == m_services.end()) {
        return {};
    }
    return tracked->second.health.assessment_of(upstream, m_clock.steady_now());
}

fleet_health::tracked_service& fleet_health::track(const service_id& service)
{
    const auto found = m_services.find(service);
    if (found != m_services.end()) {
        return found->second;
    }
    const auto* known = declared(service);
    const auto policy = known == nullptr ? detection_policy::careful : known->policy;
    auto& added = m_services.emplace(service, tracked_service(settings_for(policy))).first->second;
    added.last_use = m_clock.steady_now();
    m_has_new_services = true;
    return added;
}

void fleet_health::update_capacities()
{
    m_has_new_services = false;
    std::map<service_id, service_capacity> capacities;
    for (auto& [service, tracked] : m_services) {
        const auto* known = declared(service);
        capacities[service] = {service, known == nullptr ? 0 : known->floor_slots, {}};
    }
    for (const auto& known : m_members->members()) {
        add_member(known, capacities);
    }
    for (auto& [service, tracked] : m_services) {
        const bool is_new = tracked.capacity.service != service;
        replace_members(tracked, std::move(capacities[service]), is_new);
    }
}

void fleet_health::add_member(const member& known,
                              std::map<service_id, service_capacity>& capacities) const
{
    if (!membership_view::accepts_requests(known)) {
        return;
    }
    for (const auto& announced : known.record->upstreams) {
        const auto found = capacities.find(*announced.service);
        if (found != capacities.end() && announced.state != upstream_state::leaving) {
            found->second.members.push_back(
                {{known.record->name, announced.name}, known.record->incarnation, announced.slots});
        }
    }
}

// Upstreams that were known before this daemon tracked their service are past their cold start.
void fleet_health::replace_members(tracked_service& tracked, service_capacity capacity, bool is_new)
{
    const auto now = m_clock.steady_now();
    std::vector<std::string> owners;
    for (const auto& each : capacity.members) {
        owners.push_back(each.upstream.instance);
        const auto* previous = tracked.capacity.find(each.upstream);
        if (is_new) {
            tracked.health.assume_warm(each.upstream);
        }
        else if (previous == nullptr || previous->incarnation != each.incarnation) {
            tracked.health.on_announced(each.upstream, now);
        }
    }
    for (const auto& each : tracked.capacity.members) {
        if (capacity.find(each.upstream) == nullptr) {
            tracked.health.on_departed(each.upstream);
            tracked.preferences.erase(each.upstream);
        }
    }
    const auto evaluator = evaluator_of(capacity.service, owners);
    const auto* known = evaluator ? m_members->find(*evaluator) : nullptr;
    tracked.is_evaluator = evaluator == m_own_name;
    tracked.evaluator_address = known == nullptr ? std::string() : known->record->peer_address;
    tracked.capacity = std::move(capacity);
}

void fleet_health::forget_idle()
{
    const auto now = m_clock.steady_now();
    for (auto each = m_services.begin(); each != m_services.end();) {
        const bool is_idle = !each->second.is_owned && now - each->second.last_use >= idle_time;
        each = is_idle ? m_services.erase(each) : std::next(each);
    }
}

// The owner role sees all work of the own upstreams; what the entry role sees is a part of it.
bool fleet_health::counts(const upstream_id& target, bool by_owner) const
{
    return by_owner == (target.instance == m_own_name);
}

void fleet_health::pass_open_attempts(const std::vector<running_attempt>& open)
{
    const auto now = m_clock.steady_now();
    std::map<service_id, std::map<upstream_id, std::vector<open_attempt>>> sorted;
    for (const auto& each : open) {
        // A caller that has heard nothing from an instance since cannot tell its link from it.
        const bool is_heard = each.by_owner || m_links.has_responded_since(each.target.instance,
                                                                           each.attempt.started);
        if (counts(each.target, each.by_owner) && is_heard &&
            !m_links.is_failed(each.target.instance, now)) {
            sorted[each.service][each.target].push_back(each.attempt);
        }
    }
    for (auto& [service, tracked] : m_services) {
        auto& of_service = sorted[service];
        for (const auto& each : tracked.capacity.members) {
            tracked.health.set_open_attempts(each.upstream, std::move(of_service[each.upstream]));
        }
    }
}

void fleet_health::update_preferences(const service_id& service, tracked_service& tracked)
{
    const auto now = m_clock.steady_now();
    for (const auto& [upstream, eligibility] : m_view.eligibilities(tracked.capacity, now)) {
        auto& held = tracked.preferences.try_emplace(upstream, 1.0).first->second;
        double next = -1;
        if (eligibility != upstream_eligibility::excluded) {
            if (held < 0) {
                tracked.health.on_ejection_ended(upstream, now);
            }
            const bool is_least_preferred = eligibility == upstream_eligibility::least_preferred ||
                                            m_links.is_failed(upstream.instance, now);
            next = is_least_preferred ? outlier_detector::unhealthy_preference
                                      : tracked.health.preference(upstream, now);
        }
        if (std::abs(next - held) >= least_change || (next < 0) != (held < 0)) {
            held = next;
            m_changed.insert(service);
        }
    }
}

const service* fleet_health::declared(const service_id& service) const
{
    if (!m_contracts) {
        return nullptr;
    }
    const auto found = m_contracts->contracts.find(service.business);
    if (found == m_contracts->contracts.end()) {
        return nullptr;
    }
    const auto& services = found->second->services;
    const auto match = std::find_if(services.begin(), services.end(),
                                    [&](const auto& each) { return each.name == service.service; });
    return match == services.end() ? nullptr : &*match;
}

} // namespace galenaroad
