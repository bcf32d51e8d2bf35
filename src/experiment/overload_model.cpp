#include "experiment/overload_model.h"

#include "admission/retry_policy.h"

#include <algorithm>
#include <string>

namespace galenaroad {

namespace {

using namespace std::chrono_literals;

constexpr int baseline_attempts = 3;

} // namespace

double overload_result::amplification() const
{
    return calls == 0 ? 0.0 : static_cast<double>(attempts) / static_cast<double>(calls);
}

double overload_result::goodput() const
{
    return requests == 0 ? 0.0 : static_cast<double>(completed) / static_cast<double>(requests);
}

std::chrono::milliseconds overload_result::mean_refusal_time() const
{
    if (refused == 0) {
        return 0ms;
    }
    return std::chrono::duration_cast<std::chrono::milliseconds>(refusal_time / refused);
}

overload_model::overload_model(const overload_parameters& parameters)
    : m_parameters(parameters),
      m_random(parameters.seed),
      m_end(m_loop.steady_now() + parameters.duration)
{
    for (int service = 0; service < service_count; ++service) {
        for (int index = 0; index < parameters.upstreams; ++index) {
            auto owner = std::make_shared<member_record>();
            owner->name = std::to_string(index);
            owner->upstreams.push_back(
                {std::to_string(service), nullptr, static_cast<std::uint16_t>(parameters.slots)});
            upstream_candidate candidate;
            candidate.owner = std::move(owner);
            candidate.load = std::make_shared<upstream_load>();
            m_candidates[service].upstreams.push_back(std::move(candidate));
            m_servers[service].emplace_back(parameters.slots);
        }
    }
}

overload_result overload_model::run()
{
    schedule_arrival();
    m_loop.run();
    return m_result;
}

void overload_model::schedule_arrival()
{
    // A call keeps its slot during its nested call, so that both the number of calls and the time
    // per call grow by 1 / (1 - nested share).
    const double chain = 1.0 / (1.0 - m_parameters.nested_share);
    const double slot_time =
        std::chrono::duration<double>(m_parameters.service_time).count() * chain * chain;
    const double slots =
        static_cast<double>(service_count) * m_parameters.upstreams * m_parameters.slots;
    const std::chrono::duration<double> gap(slot_time / (slots * m_parameters.load));
    m_loop.after(random_time(gap), [this] {
        if (m_loop.steady_now() >= m_end) {
            return;
        }
        const long id = start_call(chance(0.5) ? 0 : 1, no_parent);
        ++m_result.requests;
        m_loop.after(m_parameters.timeout, [this, id] { check_deadline(id); });
        schedule_arrival();
    });
}

long overload_model::start_call(int service, long parent)
{
    call made;
    made.service = service;
    made.parent = parent;
    made.arrived = m_loop.steady_now();
    made.context.deadline = m_loop.steady_now() + m_parameters.timeout;
    if (parent != no_parent) {
        made.context = m_calls[parent].context;
        ++made.context.depth;
    }
    m_calls.push_back(made);
    ++m_result.calls;
    m_budgets[service].record_request();
    const long id = static_cast<long>(m_calls.size()) - 1;
    attempt(id);
    return id;
}

void overload_model::attempt(long id)
{
    call& current = m_calls[id];
    const auto& candidates = m_candidates[current.service];
    const auto* chosen =
        upstream_selector().select(candidates, current.tried, m_loop.steady_now(), m_random);
    if (chosen == nullptr) {
        answer(id, false);
        return;
    }
    current.upstream = static_cast<int>(chosen - candidates.upstreams.data());
    current.tried.push_back(chosen->id());
    chosen->load->request_started();
    ++current.attempts;
    ++m_result.attempts;
    if (m_parameters.policy == overload_policy::product) {
        offer(id);
    }
    else {
        offer_unbounded(id);
    }
}

void overload_model::offer(long id)
{
    call& current = m_calls[id];
    auto& queue = m_servers[current.service][current.upstream].queue;
    current.ticket = m_next_ticket++;
    m_tickets[current.ticket] = id;
    const auto ticket = current.ticket;
    const auto decision = queue.offer(
        {ticket, "caller", request_class::read, current.context.depth, current.context.deadline},
        m_loop.steady_now());
    for (const auto displaced : queue.take_displaced()) {
        fail_attempt(m_tickets.at(displaced), error_kind::upstream_busy, run_state::not_run);
    }
    if (decision.state == admission_state::admitted) {
        begin(id);
        return;
    }
    if (decision.state == admission_state::refused) {
        fail_attempt(id, decision.reason, run_state::not_run);
        return;
    }
    m_loop.after(decision.wait_until - m_loop.steady_now(), [this, id, ticket] {
        const call& waiting = m_calls[id];
        if (waiting.ticket == ticket &&
            m_servers[waiting.service][waiting.upstream].queue.cancel(ticket)) {
            fail_attempt(id, error_kind::upstream_busy, run_state::not_run);
        }
    });
}

void overload_model::offer_unbounded(long id)
{
    const call& current = m_calls[id];
    auto& target = m_servers[current.service][current.upstream];
    if (target.running < m_parameters.slots) {
        ++target.running;
        begin(id);
        return;
    }
    target.backlog.push_back(id);
}

void overload_model::begin(long id)
{
    m_calls[id].admitted = m_loop.steady_now();
    m_loop.after(random_time(m_parameters.service_time / 2),
                 [this, id] { call_nested_or_finish(id); });
}

void overload_model::call_nested_or_finish(long id)
{
    const call& current = m_calls[id];
    const bool may_nest = current.context.depth < call_context::max_depth;
    if (may_nest && chance(m_parameters.nested_share)) {
        start_call(1 - current.service, id);
        return;
    }
    m_loop.after(random_time(m_parameters.service_time / 2),
                 [this, id] { finish(id, !chance(m_parameters.failing_share)); });
}

void overload_model::finish(long id, bool succeeded)
{
    release_slot(id);
    if (succeeded) {
        m_candidates[m_calls[id].service].upstreams[m_calls[id].upstream].load->request_finished();
        answer(id, true);
        return;
    }
    fail_attempt(id, error_kind::upstream_failed, run_state::unknown);
}

void overload_model::release_slot(long id)
{
    const call& current = m_calls[id];
    auto& target = m_servers[current.service][current.upstream];
    if (m_parameters.policy == overload_policy::product) {
        for (const auto ticket : target.queue.finish(current.admitted, m_loop.steady_now())) {
            begin(m_tickets.at(ticket));
        }
        return;
    }
    if (target.backlog.empty()) {
        --target.running;
        return;
    }
    const long next = target.backlog.front();
    target.backlog.pop_front();
    begin(next);
}

void overload_model::fail_attempt(long id, error_kind kind, run_state run)
{
    call& current = m_calls[id];
    m_candidates[current.service].upstreams[current.upstream].load->request_finished();
    const failed_attempt failed{kind, run, current.attempts, true, true, false};
    const bool again =
        m_parameters.policy == overload_policy::product
            ? retry_policy::may_retry(failed, current.context, m_budgets[current.service],
                                      m_loop.steady_now())
            : current.attempts < baseline_attempts;
    if (again) {
        attempt(id);
        return;
    }
    answer(id, false);
}

void overload_model::answer(long id, bool succeeded)
{
    call& current = m_calls[id];
    if (current.parent != no_parent) {
        const long parent = current.parent;
        if (!succeeded) {
            finish(parent, false);
            return;
        }
        m_loop.after(random_time(m_parameters.service_time / 2),
                     [this, parent] { finish(parent, !chance(m_parameters.failing_share)); });
        return;
    }
    if (current.done) {
        return;
    }
    current.done = true;
    if (succeeded) {
        ++m_result.completed;
        return;
    }
    ++m_result.refused;
    m_result.refusal_time += m_loop.steady_now() - current.arrived;
}

void overload_model::check_deadline(long id)
{
    if (m_calls[id].done) {
        return;
    }
    m_calls[id].done = true;
    ++m_result.late;
}

steady_time::duration overload_model::random_time(std::chrono::duration<double> mean)
{
    std::exponential_distribution<double> distribution(1.0 / mean.count());
    return std::chrono::duration_cast<steady_time::duration>(
        std::chrono::duration<double>(distribution(m_random)));
}

bool overload_model::chance(double share)
{
    return std::bernoulli_distribution(share)(m_random);
}

} // namespace galenaroad
