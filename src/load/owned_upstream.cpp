#include "load/owned_upstream.h"

#include <algorithm>
#include <cmath>

namespace galenaroad {

namespace {

using namespace std::chrono_literals;

constexpr double percent = 100;
constexpr auto unreachable_avoidance_time = 300ms;
// Service times vary widely; a request is overdue at this multiple of their average.
constexpr int overdue_factor = 4;
// Share of the latency objective for which a request waits here rather than being sent to a more
// distant owner.
constexpr double short_wait_share = 0.12;
// Maximum number of routes with their own service time. Beyond it, all service times are discarded
// and measured again.
constexpr std::size_t max_routes = 512;
constexpr double route_service_time_weight = 0.15;
// The first responses of a route come from its short requests, so their average says little about
// the duration of the others.
constexpr int min_representative_samples = 16;
constexpr auto min_overdue_time = 800ms;
constexpr auto min_retry_after = 200ms;

} // namespace

owned_upstream::owned_upstream(const clock& time, retry_budget_limits retry_limits,
                               owner_policy policy)
    : m_clock(time),
      m_policy(policy),
      m_estimator(policy.failures),
      m_settled_estimator(policy.failures),
      m_rejection_estimator(policy.failures),
      m_retry_budget(retry_limits)
{
}

lifecycle_change owned_upstream::on_heartbeat(const upstream_heartbeat& heartbeat)
{
    const auto previous = m_lifecycle.latest();
    const auto change = m_lifecycle.on_heartbeat(heartbeat);
    if (change == lifecycle_change::stale) {
        return change;
    }
    m_slots.resize(std::max(heartbeat.slots, 1));
    const bool is_new_start =
        previous.id != heartbeat.id || previous.start_time_ms != heartbeat.start_time_ms;
    if (change == lifecycle_change::joined && is_new_start) {
        m_estimator = failure_estimator(m_policy.failures);
        m_settled_estimator = m_estimator;
        m_rejection_estimator = failure_estimator(m_policy.failures);
        m_last_outcome_at.reset();
        m_avoided_until = {};
    }
    return change;
}

lifecycle_change owned_upstream::on_departure(const std::string& id)
{
    return m_lifecycle.on_departure(id, m_clock.system_now());
}

owner_decision owned_upstream::admit(const attempt_metadata& metadata, int owners)
{
    m_owners = owners;
    const auto reason = refusal_reason_for(metadata);
    if (reason != owner_reason::none) {
        return refusal(reason);
    }
    const bool needs_retry_budget = metadata.attempt > 1 && !metadata.retry_is_granted;
    if (needs_retry_budget && !grant_retry()) {
        return refusal(owner_reason::no_allowance);
    }
    const auto now = m_clock.steady_now();
    slot_request request;
    request.ticket = ++m_last_ticket;
    request.priority = metadata.priority;
    request.deadline = now + wait_limit(metadata);
    request.service_time = expected_service_time(metadata.route);
    request.may_wait = metadata.may_wait ||
                       m_slots.expected_wait() <= metadata.objective_remaining * short_wait_share;
    const auto verdict = m_slots.admit(request, now);
    if (verdict == slot_verdict::refuse) {
        return refusal(owner_reason::busy);
    }
    if (metadata.attempt == 1) {
        m_retry_budget.record_first_attempt(owners, now);
    }
    return {verdict, owner_reason::none, 0ms, request.ticket};
}

// Compares the service only: after a restart of the whole fleet the entry daemons still know the
// former upstreams, and only the owner knows which upstream runs beside it.
owner_reason owned_upstream::recheck(const attempt_metadata& metadata) const
{
    if (m_lifecycle.latest().service != metadata.service) {
        return owner_reason::unknown_upstream;
    }
    if (m_lifecycle.serving() != nullptr) {
        return owner_reason::none;
    }
    const bool is_leaving = m_lifecycle.state() == announced_state::draining ||
                            m_lifecycle.state() == announced_state::left;
    return is_leaving ? owner_reason::draining : owner_reason::unknown_upstream;
}

owner_reason owned_upstream::refusal_reason_for(const attempt_metadata& metadata) const
{
    const bool can_retry = is_idempotent(metadata.kind) && metadata.may_retry;
    if (has_stopped_accepting() || (m_accepts_until && !can_retry)) {
        return owner_reason::stopping;
    }
    const auto reason = recheck(metadata);
    if (reason != owner_reason::none) {
        return reason;
    }
    if (m_avoided_until > m_clock.steady_now()) {
        return owner_reason::unreachable;
    }
    const double threshold = metadata.may_wait ? m_policy.last_resort_refusal_threshold
                                               : m_policy.search_refusal_threshold;
    const bool is_too_risky =
        !can_retry && m_estimator.failure_probability(m_clock.steady_now()) > threshold;
    return is_too_risky ? owner_reason::in_doubt : owner_reason::none;
}

bool owned_upstream::accepts_requests() const
{
    const bool is_stopping = m_accepts_until.has_value();
    return (!is_stopping || accepts_only_retryable()) && m_lifecycle.serving() != nullptr;
}

bool owned_upstream::accepts_only_retryable() const
{
    return m_accepts_until && !has_stopped_accepting() &&
           m_retry_budget.has_retry(m_owners, m_clock.steady_now());
}

bool owned_upstream::has_stopped_accepting() const
{
    return m_accepts_until && m_clock.steady_now() >= *m_accepts_until;
}

std::chrono::milliseconds owned_upstream::wait_limit(const attempt_metadata& metadata) const
{
    // A call between services may wait past its own latency objective, because a refusal would fail
    // the request that depends on it.
    const bool has_standing_queue =
        m_slots.saturation_time(m_clock.steady_now()) >= m_policy.standing_queue_time;
    const auto max_wait =
        has_standing_queue ? m_policy.max_standing_queue_wait : m_policy.max_useful_wait;
    const auto share_of_remaining = std::chrono::duration_cast<std::chrono::milliseconds>(
        metadata.remaining * m_policy.max_wait_share);
    const auto useful_wait = std::min(share_of_remaining, max_wait);
    return std::min(std::max(metadata.objective_remaining, useful_wait), metadata.remaining);
}

owner_decision owned_upstream::refusal(owner_reason reason) const
{
    return {slot_verdict::refuse, reason, retry_after(), 0};
}

std::chrono::milliseconds owned_upstream::retry_after() const
{
    return std::max<std::chrono::milliseconds>(m_slots.expected_wait(), min_retry_after);
}

bool owned_upstream::withdraw(std::uint64_t ticket)
{
    return m_slots.withdraw(ticket);
}

void owned_upstream::finish(const std::string& route, std::chrono::nanoseconds service_time,
                            run_outcome outcome)
{
    m_slots.release();
    if (outcome != run_outcome::inconclusive) {
        m_last_outcome_at = m_clock.steady_now();
    }
    if (outcome == run_outcome::rejection) {
        m_rejection_estimator.record_failure(m_clock.steady_now());
    }
    if (outcome == run_outcome::success) {
        record_service_time(route, service_time);
        m_rejection_estimator.record_success(m_clock.steady_now());
        m_estimator.record_success(m_clock.steady_now());
        m_settled_estimator.record_success(m_clock.steady_now());
    }
    if (outcome == run_outcome::failure) {
        m_estimator.record_failure(m_clock.steady_now());
        m_settled_estimator.record_failure(m_clock.steady_now());
    }
}

void owned_upstream::record_service_time(const std::string& route,
                                         std::chrono::nanoseconds service_time)
{
    m_slots.record_service_time(service_time);
    const std::chrono::duration<double> time = service_time;
    if (m_route_service_times.size() >= max_routes && m_route_service_times.count(route) == 0) {
        m_route_service_times.clear();
    }
    auto& statistics = m_route_service_times[route];
    ++statistics.samples;
    const double weight = std::max(route_service_time_weight, 1.0 / statistics.samples);
    statistics.average += (time - statistics.average) * weight;
}

void owned_upstream::record_overdue()
{
    ++m_overdue_count;
    m_estimator.record_failure(m_clock.steady_now());
}

void owned_upstream::record_overdue_end(bool outcome_is_unknown)
{
    --m_overdue_count;
    if (outcome_is_unknown) {
        m_settled_estimator = m_estimator;
    }
    else if (m_overdue_count == 0) {
        m_estimator = m_settled_estimator;
    }
}

void owned_upstream::record_unreachable()
{
    m_avoided_until = m_clock.steady_now() + unreachable_avoidance_time;
}

int owned_upstream::failure_probability_percent() const
{
    const auto now = m_clock.steady_now();
    const auto worst = std::max(m_estimator.failure_probability(now),
                                m_rejection_estimator.failure_probability(now));
    return static_cast<int>(std::lround(worst * percent));
}

int owned_upstream::failure_probability_percent_after(run_outcome outcome) const
{
    const auto now = m_clock.steady_now();
    double worst = 0;
    switch (outcome) {
    case run_outcome::success:
        worst = std::max(m_estimator.failure_probability_after_success(now),
                         m_rejection_estimator.failure_probability_after_success(now));
        break;
    case run_outcome::failure:
        worst = m_estimator.failure_probability_after_failure(now);
        break;
    case run_outcome::rejection:
        worst = m_rejection_estimator.failure_probability_after_failure(now);
        break;
    case run_outcome::inconclusive:
        return failure_probability_percent();
    }
    return static_cast<int>(std::lround(worst * percent));
}

std::optional<std::chrono::milliseconds> owned_upstream::last_outcome_age() const
{
    if (!m_last_outcome_at) {
        return {};
    }
    return std::chrono::duration_cast<std::chrono::milliseconds>(m_clock.steady_now() -
                                                                 *m_last_outcome_at);
}

int owned_upstream::load_percent() const
{
    return static_cast<int>(std::lround(m_slots.load() * percent));
}

std::chrono::milliseconds owned_upstream::expected_service_time(const std::string& route) const
{
    const auto found = m_route_service_times.find(route);
    if (found == m_route_service_times.end()) {
        return m_slots.mean_service_time();
    }
    return std::chrono::duration_cast<std::chrono::milliseconds>(found->second.average);
}

std::chrono::milliseconds
owned_upstream::overdue_time(const std::string& route,
                             std::chrono::milliseconds latency_objective) const
{
    const auto found = m_route_service_times.find(route);
    const bool is_known =
        found != m_route_service_times.end() && found->second.samples >= min_representative_samples;
    return std::max({expected_service_time(route) * overdue_factor,
                     std::chrono::milliseconds(min_overdue_time),
                     is_known ? 0ms : latency_objective});
}

} // namespace galenaroad
