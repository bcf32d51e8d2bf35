#include "experiment/relay_replay.h"

#include <algorithm>
#include <cmath>

namespace galenaroad {

namespace {

using namespace std::chrono_literals;

constexpr auto same_data_centre = 200us;
constexpr auto same_region = 900us;
constexpr auto other_region = 12ms;
constexpr auto owner_margin = 30ms;
constexpr auto failing_time = 3ms; // A failing upstream answers at once.
constexpr auto window_length = 2s;
constexpr double attempt_part = 0.5;
constexpr int max_attempts = 2;
constexpr double exchange_bytes = 1500;
constexpr double bytes_per_mb = 1e6;
constexpr double percent = 100;

} // namespace

/// A request of a client, or a call of an upstream.
struct relay_replay::request {
    request(std::size_t of_kind, std::size_t at_entry, const owner_directory& directory,
            owner_ranking& ranking)
        : kind(of_kind), entry(at_entry), search(directory, ranking)
    {
    }

    std::size_t kind;
    std::size_t entry;
    owner_search search;
    steady_time arrived;
    steady_time goal;
    steady_time deadline;
    end_hook on_end; ///< Of a call; empty for a client's request.
    int attempts = 0;
    int sent = 0;
    int outstanding = 0;
    bool has_grant = false;
    bool has_run = false;
    bool has_ended = false;
};

/// One attempt of a request at an owner.
struct relay_replay::job {
    request_ptr asked;
    replay_server* at = nullptr;
    attempt_metadata order;
    std::uint64_t ticket = 0;
    steady_time started;
    bool has_ended = false;
};

relay_replay::relay_replay(const replay_scenario& scenario, replay_version version,
                           std::uint64_t seed)
    : m_scenario(scenario),
      m_version(std::move(version)),
      m_random(seed),
      m_start(m_loop.steady_now())
{
    for (std::size_t service = 0; service < scenario.services.size(); ++service) {
        for (int number = 0; number < scenario.services[service].upstreams; ++number) {
            add_server(service, number);
        }
    }
}

relay_replay::~relay_replay() = default;

void relay_replay::add_server(std::size_t service, int number)
{
    auto made =
        std::make_unique<replay_server>(m_scenario, replay_place{m_servers.size(), service, number},
                                        m_loop, m_version.policy, m_random);
    const auto record = made->record();
    m_directory.merge(record);
    m_by_address[record.address] = m_servers.size();
    m_rankings.emplace_back(daemon_location{record.address, record.data_centre, record.region},
                            random_engine(m_random()));
    m_servers.push_back(std::move(made));
}

replay_result relay_replay::run()
{
    for (std::size_t kind = 0; kind < m_scenario.kinds.size(); ++kind) {
        schedule_arrivals(kind);
    }
    m_result.windows.resize(static_cast<std::size_t>(m_scenario.length() / window_length) + 1);
    m_loop.run_for(m_scenario.length() + 20s);
    m_result.floor_breaches = m_floor.breaches(m_servers, m_scenario.length());
    return m_result;
}

void relay_replay::schedule_arrivals(std::size_t kind)
{
    const auto& rates = m_scenario.kinds[kind].rates;
    for (std::size_t second = 0; second < rates.size(); ++second) {
        std::poisson_distribution<int> number(rates[second]);
        const int count = rates[second] > 0 ? number(m_random) : 0;
        for (int each = 0; each < count; ++each) {
            const auto at = std::chrono::duration_cast<std::chrono::nanoseconds>(
                std::chrono::duration<double>(static_cast<double>(second) + uniform(0, 1)));
            const auto entry =
                std::uniform_int_distribution<std::size_t>(0, m_servers.size() - 1)(m_random);
            m_loop.after(at, [this, kind, entry] {
                begin(kind, entry, m_loop.steady_now() + m_scenario.kinds[kind].deadline, {});
            });
        }
    }
}

void relay_replay::begin(std::size_t kind, std::size_t entry, steady_time deadline, end_hook on_end)
{
    const auto& of = m_scenario.kinds[kind];
    auto asked = std::make_shared<request>(kind, entry, m_directory, m_rankings[entry]);
    asked->arrived = m_loop.steady_now();
    asked->deadline = std::min(deadline, asked->arrived + of.deadline);
    asked->goal = std::min(asked->deadline, asked->arrived + of.goal);
    asked->on_end = std::move(on_end);
    asked->search.begin(m_scenario.services[of.service].name, of.answer_bytes);
    ++m_result.requests;
    m_loop.after(asked->deadline - asked->arrived, [this, asked] { end(asked, "failed"); });
    try_next(asked);
}

void relay_replay::try_next(const request_ptr& asked)
{
    learn_conditions(asked);
    const auto now = m_loop.steady_now();
    const bool is_in_time = asked->deadline - now > owner_margin;
    const bool explores = m_version.explores && may_repeat(*asked, asked->attempts + 1);
    const auto* const owner = is_in_time ? asked->search.next(explores, now) : nullptr;
    if (owner == nullptr) {
        if (asked->outstanding == 0) {
            end(asked, asked->has_run ? "failed" : "refused");
        }
        return;
    }
    auto made = std::make_shared<job>();
    made->asked = asked;
    made->at = m_servers[m_by_address.at(owner->address)].get();
    made->order = order_for(asked);
    ++asked->outstanding;
    const int sent = ++asked->sent;
    if (may_repeat(*asked, asked->attempts + 1) &&
        asked->search.stage() == search_stage::choosing) {
        m_loop.after(std::chrono::duration_cast<std::chrono::nanoseconds>((asked->deadline - now) *
                                                                          attempt_part),
                     [this, asked, sent] { on_slow(asked, sent); });
    }
    m_loop.after(way(asked->entry, *made->at), [this, made] { arrive(made, made->order); });
}

void relay_replay::learn_conditions(const request_ptr& asked)
{
    if (m_version.knowledge < owner_knowledge::current) {
        return;
    }
    const bool knows_truth = m_version.knowledge == owner_knowledge::clairvoyant;
    for (const auto& each : m_servers) {
        if (each->place().service != m_scenario.kinds[asked->kind].service) {
            continue;
        }
        const double failing = knows_truth ? each->failing_share()
                                           : each->owned.failure_probability_percent() / percent;
        note_condition(asked->entry, *each, {failing, each->owned.load_percent() / percent});
    }
}

void relay_replay::note_condition(std::size_t entry, const replay_server& of,
                                  owner_health condition)
{
    m_rankings[entry].record_health(of.record().address, condition, m_loop.steady_now());
}

attempt_metadata relay_replay::order_for(const request_ptr& asked) const
{
    const auto& of = m_scenario.kinds[asked->kind];
    const auto now = m_loop.steady_now();
    attempt_metadata order;
    order.service = m_scenario.services[of.service].name;
    order.route = of.name;
    order.remaining =
        std::chrono::duration_cast<std::chrono::milliseconds>(asked->deadline - now - owner_margin);
    order.objective_remaining =
        std::chrono::duration_cast<std::chrono::milliseconds>(asked->goal - now);
    order.kind = of.kind;
    order.priority = of.priority;
    order.attempt = asked->attempts + 1;
    order.may_retry = asked->attempts + 1 < max_attempts;
    order.retry_is_granted = asked->has_grant;
    order.may_wait = asked->search.stage() == search_stage::waiting;
    return order;
}

void relay_replay::arrive(const job_ptr& made, const attempt_metadata& order)
{
    auto& at = *made->at;
    if (at.is_gone()) {
        refuse(made, owner_reason::unreachable, 0ms);
        return;
    }
    const auto owners = m_scenario.services[at.place().service].upstreams;
    const auto decision = at.owned.admit(order, owners);
    made->ticket = decision.ticket;
    if (decision.verdict == slot_verdict::refuse) {
        refuse(made, decision.reason, decision.retry_after);
        return;
    }
    if (decision.verdict == slot_verdict::run) {
        run_job(made);
        return;
    }
    if (!m_version.may_wait) {
        at.owned.withdraw(made->ticket);
        refuse(made, owner_reason::busy, 0ms);
        return;
    }
    wait_in_line(made, order);
}

void relay_replay::wait_in_line(const job_ptr& made, const attempt_metadata& order)
{
    auto& at = *made->at;
    const auto index = at.place().index;
    m_waiting[{index, made->ticket}] = made;
    const auto limit = at.owned.wait_limit(order) - at.owned.expected_service_time(order.route) / 2;
    m_loop.after(std::max<std::chrono::nanoseconds>(limit, 0ms), [this, made] {
        if (m_waiting.erase({made->at->place().index, made->ticket}) > 0) {
            made->at->owned.withdraw(made->ticket);
            refuse(made, owner_reason::expired, made->at->owned.retry_after());
        }
    });
    for (const auto ticket : at.owned.take_unservable()) {
        refuse(take_waiting(index, ticket), owner_reason::expired, at.owned.retry_after());
    }
}

void relay_replay::run_job(const job_ptr& made)
{
    auto& at = *made->at;
    made->started = m_loop.steady_now();
    ++at.running;
    ++m_result.attempts;
    m_floor.note_arrival(at.place().index, made->started - m_start);
    if (chance(at.rejecting_share())) {
        m_loop.after(failing_time, [this, made] { finish(made, run_outcome::rejection); });
        return;
    }
    const auto& of = m_scenario.kinds[made->asked->kind];
    if (chance(at.failing_share()) || chance(of.failing_share)) {
        m_loop.after(failing_time, [this, made] { finish(made, run_outcome::failure); });
        return;
    }
    work(made);
}

void relay_replay::work(const job_ptr& made)
{
    const auto& of = m_scenario.kinds[made->asked->kind];
    const double spread = of.work_spread;
    std::lognormal_distribution<double> scatter(-spread * spread / 2, spread);
    const auto time = std::chrono::duration_cast<std::chrono::nanoseconds>(
        of.work * (scatter(m_random) * made->at->slowness()));
    if (of.calls.empty() || !chance(of.call_share)) {
        m_loop.after(time, [this, made] { finish(made, run_outcome::success); });
        return;
    }
    m_loop.after(time / 2,
                 [this, made, time, calls = of.call_count] { make_calls(made, calls, time / 2); });
}

// Makes calls one after the other; the rest of the work follows.
void relay_replay::make_calls(const job_ptr& made, int calls, std::chrono::nanoseconds left)
{
    if (calls == 0) {
        m_loop.after(left, [this, made] { finish(made, run_outcome::success); });
        return;
    }
    const auto called = kind_named(m_scenario.kinds[made->asked->kind].calls);
    begin(called, made->at->place().index, made->asked->deadline,
          [this, made, calls, left](bool is_served) {
              if (!is_served) {
                  finish(made, run_outcome::inconclusive);
                  return;
              }
              make_calls(made, calls - 1, left);
          });
}

void relay_replay::finish(const job_ptr& made, run_outcome outcome)
{
    if (made->has_ended) {
        return;
    }
    made->has_ended = true;
    auto& at = *made->at;
    --at.running;
    at.owned.finish(made->order.route, m_loop.steady_now() - made->started, outcome);
    m_result.wasted_runs += made->asked->has_ended ? 1 : 0;
    attempt_report report;
    report.result = outcome == run_outcome::success     ? owner_result::answered
                    : outcome == run_outcome::rejection ? owner_result::rejected
                                                        : owner_result::failed;
    tell(made, report);
    run_waiting(at);
}

void relay_replay::run_waiting(replay_server& at)
{
    for (auto ticket = at.owned.next(); ticket; ticket = at.owned.next()) {
        run_job(take_waiting(at.place().index, *ticket));
    }
}

relay_replay::job_ptr relay_replay::take_waiting(std::size_t server, std::uint64_t ticket)
{
    const auto found = m_waiting.find({server, ticket});
    auto made = found->second;
    m_waiting.erase(found);
    return made;
}

void relay_replay::refuse(const job_ptr& made, owner_reason reason,
                          std::chrono::milliseconds retry_after)
{
    attempt_report report;
    report.result = owner_result::not_run;
    report.reason = reason;
    report.retry_after = retry_after;
    tell(made, report);
}

void relay_replay::tell(const job_ptr& made, attempt_report report)
{
    report.failing_percent = made->at->owned.failure_probability_percent();
    report.load_percent = made->at->owned.load_percent();
    const bool has_answer = report.result == owner_result::answered;
    const auto& entry = *m_servers[made->asked->entry];
    if (entry.data_centre() != made->at->data_centre()) {
        const double answer = has_answer ? m_scenario.kinds[made->asked->kind].answer_bytes : 0;
        m_result.far_megabytes += (exchange_bytes + answer) / bytes_per_mb;
    }
    m_loop.after(way(made->asked->entry, *made->at),
                 [this, made, report] { on_report(made, report); });
}

void relay_replay::on_report(const job_ptr& made, const attempt_report& report)
{
    const auto& asked = made->asked;
    owner_health told{report.failing_percent / percent, report.load_percent / percent};
    if (report.result != owner_result::not_run) {
        told.last_outcome_age = 0ms;
    }
    for (const auto& each : m_servers) {
        const bool is_told =
            m_version.knowledge != owner_knowledge::none && each->place().index == asked->entry;
        // The entry tells its data centre, and the owner that in which it stands.
        const bool is_near = each->data_centre() == m_servers[asked->entry]->data_centre() ||
                             each->data_centre() == made->at->data_centre();
        const bool is_shared = m_version.knowledge == owner_knowledge::shared && is_near;
        if (is_told || is_shared) {
            note_condition(each->place().index, *made->at, told);
        }
    }
    --asked->outstanding;
    if (asked->has_ended) {
        return;
    }
    if (report.result == owner_result::answered) {
        end(asked, "served");
        return;
    }
    if (report.result == owner_result::not_run) {
        asked->search.record_refusal(made->at->record().address, report, m_loop.steady_now());
        if (report.reason == owner_reason::expired && asked->outstanding == 0) {
            end(asked, asked->has_run ? "failed" : "refused");
            return;
        }
        try_next(asked);
        return;
    }
    ++asked->attempts;
    const bool may_follow =
        made->order.may_retry && (report.result == owner_result::rejected ||
                                  is_idempotent(m_scenario.kinds[asked->kind].kind));
    asked->has_grant = may_follow && made->at->owned.grant_retry();
    asked->has_run = asked->has_run || report.result == owner_result::failed;
    asked->search.exclude(made->at->record().address);
    on_attempt_ended(asked);
}

void relay_replay::on_attempt_ended(const request_ptr& asked)
{
    if (may_repeat(*asked, asked->attempts)) {
        try_next(asked);
    }
    else if (asked->outstanding == 0) {
        end(asked, asked->has_run ? "failed" : "refused");
    }
}

// As the entry does: a slow attempt goes on beside the next one.
void relay_replay::on_slow(const request_ptr& asked, int attempt)
{
    if (asked->has_ended || asked->sent != attempt) {
        return;
    }
    ++asked->attempts;
    asked->has_grant = false;
    asked->has_run = true;
    try_next(asked);
}

void relay_replay::end(const request_ptr& asked, const char* how)
{
    if (asked->has_ended) {
        return;
    }
    asked->has_ended = true;
    const bool is_served = std::string(how) == "served";
    m_floor.note_end(m_scenario.kinds[asked->kind].service, is_served,
                     m_loop.steady_now() - m_start);
    if (asked->on_end) {
        asked->on_end(is_served);
        return;
    }
    count(*asked, how);
}

void relay_replay::count(const request& asked, const std::string& how)
{
    const auto& of = m_scenario.kinds[asked.kind];
    const auto now = m_loop.steady_now();
    const auto window = static_cast<std::size_t>((asked.arrived - m_start) / window_length);
    const double credit = how != "served" ? 0 : now <= asked.goal ? of.worth : of.late_worth;
    for (auto* const counts :
         {&m_result.kinds[of.name], &m_result.all, &m_result.windows.at(window)}) {
        ++counts->asked;
        counts->served += how == "served" ? 1 : 0;
        counts->refused += how == "refused" ? 1 : 0;
        counts->failed += how == "failed" ? 1 : 0;
        counts->owed += of.worth;
        counts->credit += credit;
    }
    if (how == "refused") {
        m_result.refused_held +=
            std::chrono::duration_cast<std::chrono::milliseconds>(now - asked.arrived);
        m_result.refused_beside_free_slot += has_free_slot(of.service) ? 1 : 0;
    }
}

bool relay_replay::may_repeat(const request& asked, int attempts) const
{
    const bool is_safe = is_idempotent(m_scenario.kinds[asked.kind].kind);
    return (is_safe || !asked.has_run) && attempts < max_attempts;
}

bool relay_replay::has_free_slot(std::size_t service) const
{
    return std::any_of(m_servers.begin(), m_servers.end(), [&](const auto& each) {
        return each->place().service == service && each->has_free_slot();
    });
}

std::chrono::nanoseconds relay_replay::way(std::size_t from, const replay_server& to) const
{
    const auto here = m_servers[from]->data_centre();
    const auto per_region = static_cast<std::size_t>(m_scenario.data_centres_per_region);
    if (here == to.data_centre()) {
        return same_data_centre;
    }
    return here / per_region == to.data_centre() / per_region
               ? std::chrono::nanoseconds(same_region)
               : std::chrono::nanoseconds(other_region);
}

std::size_t relay_replay::kind_named(const std::string& name) const
{
    const auto found = std::find_if(m_scenario.kinds.begin(), m_scenario.kinds.end(),
                                    [&](const auto& each) { return each.name == name; });
    return static_cast<std::size_t>(found - m_scenario.kinds.begin());
}

bool relay_replay::chance(double share)
{
    return uniform(0, 1) < share;
}

double relay_replay::uniform(double least, double greatest)
{
    return std::uniform_real_distribution<double>(least, greatest)(m_random);
}

} // namespace galenaroad
