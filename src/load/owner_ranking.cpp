#include "load/owner_ranking.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace galenaroad {

namespace {

using namespace std::chrono_literals;

// All costs are in units of one failed request.
constexpr double default_failure_probability = 0.2;
// An owner without a report is tried early, because its upstream may have just joined.
constexpr double unreported_failure_probability = 0.1;
// A failure of a request that can be retried costs only time and one retry.
constexpr double retryable_failure_cost = 0.3;
// Time after which an exhausted retry budget is assumed to have retries again.
constexpr auto budget_recovery_time = 1s;
// A report of an owner in the same data centre is stale after this time. Requests that can be
// retried are then sent to that owner, so that no healthy upstream is left without requests.
constexpr auto stale_report_age = 700ms;
// A suspect upstream is probed this long after its latest outcome. Requests that can be retried may
// be rare, and a recovered upstream must not stay idle until the next one arrives.
constexpr auto probe_interval = 2s;
// An upstream that has been suspect for long is most likely still failing, so it is probed less
// often to cost fewer requests.
constexpr auto long_suspicion_time = 12s;
constexpr auto long_suspicion_probe_interval = 3500ms;
// Makes an owner that is due for a probe cheaper than the others.
constexpr double probe_cost_reduction = 1;
// Failure probability above which an upstream is suspect.
constexpr double suspicion_threshold = 0.4;
constexpr double load_cost = 0.15;
// Time constant with which the weight of a report decays: upstreams start and stop failing within
// this time.
constexpr auto report_decay_time = 2s;
// An owner is expected to decide according to its latest report for this long.
constexpr auto report_validity = 600ms;
// A daemon that was stopping may be back with a healthy upstream after this time.
constexpr auto leaving_validity = 1500ms;
// Cost of a megabyte transferred between data centres, relative to a failed request.
constexpr double data_centre_cost_per_mb = 15;
constexpr double region_cost_per_mb = 20;
// Total size of the heads of a request and its response.
constexpr double exchange_overhead_bytes = 1500;
// Added latency has a small cost even where traffic is free.
constexpr double data_centre_delay_cost = 0.01;
constexpr double region_delay_cost = 0.04;
constexpr double max_tie_breaker_cost = 0.02;
constexpr double bytes_per_mb = 1e6;
constexpr auto initial_avoidance_time = 500ms;
constexpr auto max_avoidance_time = 4000ms;

} // namespace

std::string_view probe_decision_name(probe_decision decision)
{
    switch (decision) {
    case probe_decision::none_due:
        return "none_due";
    case probe_decision::made:
        return "made";
    case probe_decision::no_budget:
        return "no_budget";
    }
    return "none_due";
}

owner_ranking::owner_ranking(daemon_location location, random_engine random)
    : m_location(std::move(location)), m_random(random)
{
}

owner_choice owner_ranking::choose(const owner_directory& directory,
                                   const owner_requirements& requirements, steady_time now)
{
    owner_choice best;
    double best_cost = 0;
    bool is_probe_due = false;
    const bool accepts_stopping = requirements.may_retry && !requirements.avoids_stopping;
    for (const auto* const record : directory.ready_for(requirements.service)) {
        if (requirements.excluded.count(record->address) > 0 ||
            !is_available(record->address, accepts_stopping, now) ||
            would_refuse(record->address, requirements.thresholds, now)) {
            continue;
        }
        const auto* const view = reported_view(record->address);
        const bool may_be_probed = requirements.may_retry && is_local(*record) && view != nullptr;
        is_probe_due = is_probe_due || (may_be_probed && is_due_for_probe(*view, now));
        const double candidate_cost = cost(*record, requirements, now);
        if (best.record == nullptr || candidate_cost < best_cost) {
            best.record = record;
            best_cost = candidate_cost;
        }
    }
    if (is_probe_due && !has_retry_budget(requirements.service, now)) {
        best.probe = probe_decision::no_budget;
    }
    else if (is_probe_due) {
        best.probe = probe_decision::made;
        // The outcome of the probe is not known yet; treating it as known keeps other requests from
        // probing the same upstream.
        m_views[best.record->address].last_outcome_at = now;
    }
    return best;
}

void owner_ranking::record_health(const std::string& address, const owner_health& health,
                                  steady_time now)
{
    record_relayed_health(address, health, now);
    auto& view = m_views[address];
    view.failed_connections = 0;
    view.avoided_until = {};
}

void owner_ranking::record_relayed_health(const std::string& address, const owner_health& health,
                                          steady_time reported_at)
{
    auto& view = m_views[address];
    if (health.last_outcome_age || !view.has_report) {
        const auto last_outcome_at = reported_at - health.last_outcome_age.value_or(0ms);
        view.last_outcome_at = std::max(view.last_outcome_at, last_outcome_at);
    }
    if (view.has_report && view.reported_at > reported_at) {
        return;
    }
    view.health = health;
    view.reported_at = reported_at;
    view.has_report = true;
    if (health.failure_probability <= suspicion_threshold) {
        view.suspect_since.reset();
    }
    else if (!view.suspect_since) {
        view.suspect_since = reported_at;
    }
}

void owner_ranking::record_budget_exhausted(const std::string& service, steady_time now)
{
    m_budget_exhausted_at[service] = now;
}

void owner_ranking::record_joined(const std::string& address)
{
    const auto found = m_views.find(address);
    if (found != m_views.end()) {
        found->second.health.accepts_requests = true;
        found->second.health.accepts_only_retryable = false;
    }
}

void owner_ranking::record_unreachable(const std::string& address, steady_time now)
{
    auto& view = m_views[address];
    const auto avoidance_time = std::min<std::chrono::milliseconds>(
        initial_avoidance_time * (1 << std::min(view.failed_connections, 3)), max_avoidance_time);
    ++view.failed_connections;
    view.avoided_until = now + avoidance_time;
}

bool owner_ranking::is_available(const std::string& address, bool accepts_stopping,
                                 steady_time now) const
{
    const auto found = m_views.find(address);
    if (found == m_views.end()) {
        return true;
    }
    const auto& view = found->second;
    const bool accepts_this =
        view.health.accepts_requests && (accepts_stopping || !view.health.accepts_only_retryable);
    const bool is_outdated = now - view.reported_at > leaving_validity;
    return (accepts_this || is_outdated) && view.avoided_until <= now;
}

bool owner_ranking::would_refuse(const std::string& address, refusal_thresholds thresholds,
                                 steady_time now) const
{
    const auto* const view = reported_view(address);
    if (view == nullptr || now - view->reported_at > report_validity) {
        return false;
    }
    const auto& health = view->health;
    return health.failure_probability > thresholds.failure_probability ||
           health.load >= thresholds.load;
}

double owner_ranking::cost(const owner_record& record, const owner_requirements& requirements,
                           steady_time now)
{
    std::uniform_real_distribution<double> tie_breaker(0, max_tie_breaker_cost);
    const double network_cost =
        transfer_cost(record, requirements.payload_bytes) + tie_breaker(m_random);
    const double cost_of_failure = failure_cost(requirements, now);
    const auto* const view = reported_view(record.address);
    if (view == nullptr) {
        return requirements.may_retry && is_local(record)
                   ? network_cost
                   : network_cost + unreported_failure_probability * cost_of_failure;
    }
    if (requirements.may_retry && is_local(record)) {
        if (is_due_for_probe(*view, now) && has_retry_budget(requirements.service, now)) {
            return network_cost - probe_cost_reduction;
        }
        if (is_stale(*view, now)) {
            return network_cost;
        }
    }
    const std::chrono::duration<double> age = now - view->reported_at;
    const std::chrono::duration<double> decay_time = report_decay_time;
    const double report_weight = std::exp(-age.count() / decay_time.count());
    const double failure_probability =
        default_failure_probability +
        (view->health.failure_probability - default_failure_probability) * report_weight;
    return network_cost + failure_probability * cost_of_failure +
           load_cost * view->health.load * report_weight;
}

const owner_ranking::owner_view* owner_ranking::reported_view(const std::string& address) const
{
    const auto found = m_views.find(address);
    return found != m_views.end() && found->second.has_report ? &found->second : nullptr;
}

bool owner_ranking::is_local(const owner_record& record) const
{
    return record.data_centre == m_location.data_centre;
}

bool owner_ranking::is_due_for_probe(const owner_view& view, steady_time now)
{
    if (!view.suspect_since) {
        return false;
    }
    const bool is_long_suspected = now - *view.suspect_since > long_suspicion_time;
    const std::chrono::nanoseconds interval =
        is_long_suspected ? long_suspicion_probe_interval : probe_interval;
    return now - view.last_outcome_at > interval;
}

bool owner_ranking::is_stale(const owner_view& view, steady_time now)
{
    return !view.suspect_since && now - view.reported_at > stale_report_age;
}

bool owner_ranking::has_retry_budget(const std::string& service, steady_time now) const
{
    const auto found = m_budget_exhausted_at.find(service);
    return found == m_budget_exhausted_at.end() || now - found->second > budget_recovery_time;
}

// A failure costs less if the request can be retried, as long as the retry budget is not exhausted.
double owner_ranking::failure_cost(const owner_requirements& requirements, steady_time now) const
{
    return requirements.may_retry && has_retry_budget(requirements.service, now)
               ? retryable_failure_cost
               : 1;
}

double owner_ranking::transfer_cost(const owner_record& record, double payload_bytes) const
{
    if (is_local(record)) {
        return 0;
    }
    const double megabytes = (payload_bytes + exchange_overhead_bytes) / bytes_per_mb;
    if (record.region == m_location.region) {
        return data_centre_delay_cost + megabytes * data_centre_cost_per_mb;
    }
    return region_delay_cost + megabytes * region_cost_per_mb;
}

} // namespace galenaroad
