#include "relay/owned_upstream.h"

#include <algorithm>
#include <cmath>

namespace galenaroad {

namespace {

using namespace std::chrono_literals;

constexpr double percent = 100;
constexpr auto avoidance_of_unreachable = 300ms;
// Service times scatter widely; a request is overdue at this multiple of their average.
constexpr int overdue_factor = 4;
// Part of the latency goal that a request rather waits here than goes a longer way.
constexpr double short_wait_part = 0.12;
// Routes whose service times are kept apart; more are learned anew.
constexpr std::size_t max_routes = 512;
constexpr double route_service_weight = 0.15;
// The first answers of a route are those of its short requests, so that their average says little
// of how long the others take.
constexpr int representative_answers = 16;
constexpr auto least_overdue_time = 800ms;
constexpr auto min_retry_after = 200ms;

} // namespace

owned_upstream::owned_upstream(const clock& time, retry_bounds bounds, owner_policy policy)
    : m_clock(time),
      m_policy(policy),
      m_belief(policy.failures),
      m_settled_belief(policy.failures),
      m_rejecting(policy.failures),
      m_allowance(bounds)
{
}

lifecycle_change owned_upstream::note_heartbeat(const upstream_heartbeat& beat)
{
    const auto previous = m_lifecycle.latest();
    const auto change = m_lifecycle.note(beat);
    if (change == lifecycle_change::stale) {
        return change;
    }
    m_slots.resize(std::max(beat.slots, 1));
    const bool is_new_start = previous.id != beat.id || previous.born_ms != beat.born_ms;
    if (change == lifecycle_change::joined && is_new_start) {
        m_belief = failure_belief(m_policy.failures);
        m_settled_belief = m_belief;
        m_rejecting = failure_belief(m_policy.failures);
        m_tested_at.reset();
        m_avoided_until = {};
    }
    return change;
}

lifecycle_change owned_upstream::note_departure(const std::string& id)
{
    return m_lifecycle.note_departure(id, m_clock.system_now());
}

owner_decision owned_upstream::ask(const attempt_metadata& order, int owners)
{
    m_owners = owners;
    const auto reason = refusal_of(order);
    if (reason != owner_reason::none) {
        return refused(reason);
    }
    const bool is_repeated = order.attempt > 1 && !order.retry_is_granted;
    if (is_repeated && !grant_attempt()) {
        return refused(owner_reason::no_allowance);
    }
    const auto now = m_clock.steady_now();
    slot_request wanted;
    wanted.ticket = ++m_last_ticket;
    wanted.priority = order.priority;
    wanted.deadline = now + wait_limit(order);
    wanted.service_time = expected_service(order.route);
    wanted.may_wait =
        order.may_wait || m_slots.expected_wait() <= order.objective_remaining * short_wait_part;
    const auto verdict = m_slots.ask(wanted, now);
    if (verdict == slot_verdict::refuse) {
        return refused(owner_reason::busy);
    }
    if (order.attempt == 1) {
        m_allowance.note_first(owners, now);
    }
    return {verdict, owner_reason::none, 0ms, wanted.ticket};
}

// The entry daemon names a service only: after a restart of everything it still knows the former
// upstreams, and the owner alone knows which one runs beside it.
owner_reason owned_upstream::recheck(const attempt_metadata& order) const
{
    if (m_lifecycle.latest().service != order.service) {
        return owner_reason::unknown_upstream;
    }
    if (m_lifecycle.serving() != nullptr) {
        return owner_reason::none;
    }
    const bool is_leaving = m_lifecycle.state() == announced_state::draining ||
                            m_lifecycle.state() == announced_state::left;
    return is_leaving ? owner_reason::draining : owner_reason::unknown_upstream;
}

owner_reason owned_upstream::refusal_of(const attempt_metadata& order) const
{
    if (m_is_stopping) {
        return owner_reason::stopping;
    }
    const auto reason = recheck(order);
    if (reason != owner_reason::none) {
        return reason;
    }
    if (m_avoided_until > m_clock.steady_now()) {
        return owner_reason::unreachable;
    }
    const bool can_follow = is_idempotent(order.kind) && order.may_retry;
    const double greatest = order.may_wait ? m_policy.greatest_doubt : m_policy.careful_doubt;
    const bool is_too_doubtful = !can_follow && m_belief.failing(m_clock.steady_now()) > greatest;
    return is_too_doubtful ? owner_reason::in_doubt : owner_reason::none;
}

std::chrono::milliseconds owned_upstream::wait_limit(const attempt_metadata& order) const
{
    // A call between services is still useful after its own goal: a refusal would fail the request
    // that it belongs to.
    const bool stands = m_slots.full_for(m_clock.steady_now()) >= m_policy.standing_queue_time;
    const auto longest = stands ? m_policy.longest_standing_wait : m_policy.longest_useful_wait;
    const auto part = std::chrono::duration_cast<std::chrono::milliseconds>(
        order.remaining * m_policy.useful_part_of_remaining);
    const auto useful = std::min(part, longest);
    return std::min(std::max(order.objective_remaining, useful), order.remaining);
}

owner_decision owned_upstream::refused(owner_reason reason) const
{
    const auto wait = std::max<std::chrono::milliseconds>(m_slots.expected_wait(), min_retry_after);
    return {slot_verdict::refuse, reason, wait, 0};
}

bool owned_upstream::withdraw(std::uint64_t ticket)
{
    return m_slots.withdraw(ticket);
}

void owned_upstream::finish(const std::string& route, std::chrono::nanoseconds served,
                            run_outcome outcome)
{
    m_slots.release();
    if (outcome != run_outcome::inconclusive) {
        m_tested_at = m_clock.steady_now();
    }
    if (outcome == run_outcome::rejection) {
        m_rejecting.note_failure(m_clock.steady_now());
    }
    if (outcome == run_outcome::success) {
        note_service(route, served);
        m_rejecting.note_success(m_clock.steady_now());
        m_belief.note_success(m_clock.steady_now());
        m_settled_belief.note_success(m_clock.steady_now());
    }
    if (outcome == run_outcome::failure) {
        m_belief.note_failure(m_clock.steady_now());
        m_settled_belief.note_failure(m_clock.steady_now());
    }
}

void owned_upstream::note_service(const std::string& route, std::chrono::nanoseconds served)
{
    m_slots.note_service(served);
    const std::chrono::duration<double> time = served;
    if (m_route_service.size() >= max_routes && m_route_service.count(route) == 0) {
        m_route_service.clear();
    }
    auto& known = m_route_service[route];
    ++known.answers;
    const double weight = std::max(route_service_weight, 1.0 / known.answers);
    known.average += (time - known.average) * weight;
}

void owned_upstream::note_overdue()
{
    ++m_overdue;
    m_belief.note_failure(m_clock.steady_now());
}

void owned_upstream::note_overdue_end(bool stays_unknown)
{
    --m_overdue;
    if (stays_unknown) {
        m_settled_belief = m_belief;
    }
    else if (m_overdue == 0) {
        m_belief = m_settled_belief;
    }
}

void owned_upstream::note_unreachable()
{
    m_avoided_until = m_clock.steady_now() + avoidance_of_unreachable;
}

int owned_upstream::failing_percent() const
{
    const auto now = m_clock.steady_now();
    const auto worst = std::max(m_belief.failing(now), m_rejecting.failing(now));
    return static_cast<int>(std::lround(worst * percent));
}

int owned_upstream::failing_percent_after(run_outcome outcome) const
{
    const auto now = m_clock.steady_now();
    double worst = 0;
    switch (outcome) {
    case run_outcome::success:
        worst =
            std::max(m_belief.failing_after_success(now), m_rejecting.failing_after_success(now));
        break;
    case run_outcome::failure:
        worst = m_belief.failing_after_failure(now);
        break;
    case run_outcome::rejection:
        worst = m_rejecting.failing_after_failure(now);
        break;
    case run_outcome::inconclusive:
        return failing_percent();
    }
    return static_cast<int>(std::lround(worst * percent));
}

std::optional<std::chrono::milliseconds> owned_upstream::tested_ago() const
{
    if (!m_tested_at) {
        return {};
    }
    return std::chrono::duration_cast<std::chrono::milliseconds>(m_clock.steady_now() -
                                                                 *m_tested_at);
}

int owned_upstream::load_percent() const
{
    return static_cast<int>(std::lround(m_slots.load() * percent));
}

std::chrono::milliseconds owned_upstream::expected_service(const std::string& route) const
{
    const auto found = m_route_service.find(route);
    if (found == m_route_service.end()) {
        return m_slots.mean_service();
    }
    return std::chrono::duration_cast<std::chrono::milliseconds>(found->second.average);
}

std::chrono::milliseconds owned_upstream::overdue_time(const std::string& route,
                                                       std::chrono::milliseconds goal) const
{
    const auto found = m_route_service.find(route);
    const bool is_known =
        found != m_route_service.end() && found->second.answers >= representative_answers;
    return std::max({expected_service(route) * overdue_factor,
                     std::chrono::milliseconds(least_overdue_time), is_known ? 0ms : goal});
}

} // namespace galenaroad
