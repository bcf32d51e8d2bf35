#include "tests/support/action_fleet.h"

#include <algorithm>
#include <chrono>

namespace galenaroad {

using namespace std::chrono_literals;

namespace {

constexpr std::size_t daemon_count = 3;
constexpr std::size_t owner_count = 2;
constexpr int requests_per_caller = 4;
constexpr auto request_timeout = 2s;
constexpr auto business = "tetteh";

struct daemon_crashed {};

// Every second daemon writes the bodies of its responses to the object store.
action_ledger_limits limits_of(const daemon_identity& identity)
{
    action_ledger_limits limits;
    limits.max_row_body_bytes = identity.incarnation % 2 == 0 ? 0 : limits.max_row_body_bytes;
    return limits;
}

} // namespace

struct action_fleet::daemon {
    daemon(action_fleet& fleet, const daemon_identity& identity)
        : attempts(identity, random_engine(identity.incarnation)),
          tables({fleet.m_tables, fleet.m_late, fleet.m_random, fleet.m_faults.store,
                  fleet.m_faults.read_claimed_as_released, [this, &fleet] { fleet.step(*this); }}),
          ledger(
              tables, fleet.m_objects, fleet.m_clock, attempts,
              [&fleet](const std::string&, std::uint64_t number) { return fleet.is_alive(number); },
              limits_of(identity)),
          issued(identity, "secret", fleet.m_clock),
          gate(
              ledger, issued, attempts, fleet.m_clock,
              [&fleet](const std::string&, std::uint64_t number) { return fleet.is_alive(number); })
    {
    }

    attempt_id_source attempts;
    unreliable_table_service tables;
    action_ledger ledger;
    issued_action_table issued;
    action_gate gate;
};

action_fleet::action_fleet(std::uint64_t seed, const action_fleet_faults& faults)
    : m_faults(faults), m_random(seed)
{
    for (std::size_t i = 0; i < owner_count; ++i) {
        m_owners.push_back(std::make_unique<model_owner>(m_clock));
    }
    for (std::size_t i = 0; i < daemon_count; ++i) {
        m_daemons.push_back(start_daemon(i));
    }
    store_faults object_faults;
    object_faults.fail_before_effect = [this](const store_call&) {
        return chance(m_faults.store.refused);
    };
    object_faults.lose_response = [this](const store_call&) {
        return chance(m_faults.store.lost_response);
    };
    m_objects.inject(object_faults);
    add_callers();
}

action_fleet::~action_fleet() = default;

void action_fleet::run()
{
    m_interleaver.run();
    m_interleaved = false;
    m_faults = {};
    while (!m_late.empty()) {
        deliver_one_late_effect();
    }
    settle_all();
    ask_again_without_faults();
}

// Keys with two callers each, an issued key with two, and a caller without a key.
void action_fleet::add_callers()
{
    const auto issued = *m_daemons.front()->issued.issue();
    m_keys = {"belt-1", "belt-2", "belt-3", issued};
    for (const std::string& key : {m_keys[0], m_keys[0], m_keys[1], m_keys[1], m_keys[2], m_keys[2],
                                   issued, issued, std::string()}) {
        m_interleaver.add([this, key] { call_repeatedly(key); });
        ++m_running_callers;
    }
    m_interleaver.add([this] { deliver_late_effects(); });
}

void action_fleet::call_repeatedly(const std::string& key)
{
    for (int i = 0; i < requests_per_caller; ++i) {
        if (call(key) == error_kind::ok && !chance(0.5)) {
            break;
        }
        m_interleaver.yield();
    }
    --m_running_callers;
}

error_kind action_fleet::call(const std::string& key)
{
    const auto request = make_request(key);
    const auto entry = m_daemons[m_random() % m_daemons.size()];
    try {
        return serve(*entry, request);
    }
    catch (const daemon_crashed&) {
        return error_kind::outcome_unknown;
    }
}

action_fleet::caller_request action_fleet::make_request(const std::string& key)
{
    caller_request request;
    request.id = "request-" + std::to_string(++m_last_request);
    request.action = {business, key, chance(m_faults.reused_key) ? "other" : "same",
                      m_clock.steady_now() + request_timeout};
    return request;
}

error_kind action_fleet::serve(daemon& entry, const caller_request& request)
{
    route rule;
    rule.once = true;
    step(entry);
    const auto decision = entry.gate.decide(request.action, rule);
    step(entry);
    switch (decision.kind) {
    case action_decision_kind::run:
        return dispatch(entry, request, decision.ticket);
    case action_decision_kind::forward:
        return pass_on(entry, request, decision.issuer_address);
    case action_decision_kind::replay:
        answer(request, error_kind::ok, decision.response.body);
        return error_kind::ok;
    case action_decision_kind::refuse:
        answer(request, decision.error);
        break;
    }
    return decision.error;
}

error_kind action_fleet::pass_on(daemon& entry, const caller_request& request,
                                 const std::string& address)
{
    const auto issuer = live_daemon(address);
    try {
        return serve(*issuer, request);
    }
    catch (const daemon_crashed&) {
        step(entry);
        answer(request, error_kind::outcome_unknown);
        return error_kind::outcome_unknown;
    }
}

error_kind action_fleet::dispatch(daemon& entry, const caller_request& request,
                                  const action_ticket& ticket)
{
    auto& owner = *m_owners[m_random() % m_owners.size()];
    const int incarnation = owner.incarnation();
    step(entry);
    auto sent = send(request, ticket, owner);
    step(entry);
    if (sent.state == dispatch_state::silent) {
        return end_silent(entry, request, ticket, owner, incarnation);
    }
    if (sent.state == dispatch_state::refused && chance(0.5)) {
        // The refusal is proof, so the same attempt may go to another owner.
        return dispatch(entry, request, ticket);
    }
    const bool finished = sent.state == dispatch_state::finished;
    const auto error = finished ? error_kind::ok : error_kind::upstream_busy;
    // The caller may be answered before or after the store is told.
    const bool answer_first = chance(0.5);
    if (answer_first) {
        answer(request, error, sent.body);
    }
    if (finished) {
        entry.gate.completed(ticket, {201, {}, sent.body});
    }
    else {
        entry.gate.not_run(ticket, not_run_proof::owner_refused);
    }
    if (!answer_first) {
        answer(request, error, sent.body);
    }
    return error;
}

error_kind action_fleet::end_silent(daemon& entry, const caller_request& request,
                                    const action_ticket& ticket, model_owner& owner,
                                    int incarnation)
{
    const bool fence_answered = owner.incarnation() == incarnation && !chance(0.3);
    if (fence_answered && owner.fence(ticket.attempt_id)) {
        entry.gate.not_run(ticket, not_run_proof::fenced);
        answer(request, error_kind::upstream_busy);
        return error_kind::upstream_busy;
    }
    entry.gate.outcome_unknown(ticket);
    answer(request, error_kind::outcome_unknown);
    return error_kind::outcome_unknown;
}

dispatch_result action_fleet::send(const caller_request& request, const action_ticket& ticket,
                                   model_owner& owner)
{
    if (chance(m_faults.lost_dispatch)) {
        return {};
    }
    if (chance(m_faults.late_dispatch)) {
        const int incarnation = owner.incarnation();
        m_late.emplace_back([this, request, attempt = ticket.attempt_id, &owner, incarnation] {
            if (owner.incarnation() == incarnation) {
                deliver(request, attempt, owner);
            }
        });
        return {};
    }
    auto result = deliver(request, ticket.attempt_id, owner);
    if (m_faults.refuse_after_start && result.state == dispatch_state::finished) {
        return {dispatch_state::refused, {}};
    }
    return chance(m_faults.lost_answer) ? dispatch_result() : result;
}

dispatch_result action_fleet::deliver(const caller_request& request, const std::string& attempt,
                                      model_owner& owner)
{
    const bool busy = m_interleaved && chance(0.2);
    return owner.receive(attempt, request.action.deadline, busy, [&] {
        const auto& action = request.action;
        const auto key = action.key.empty() ? request.id : action.key;
        auto body = "response to " + request.id;
        m_history.started({action.business, key, request.id, action.digest});
        m_history.responded(action.business, key, body);
        return body;
    });
}

void action_fleet::answer(const caller_request& request, error_kind error, const std::string& body)
{
    const auto& action = request.action;
    const auto key = action.key.empty() ? request.id : action.key;
    m_history.answered(
        {action.business, key, request.id, action.digest, answer_for(error).run, body});
}

void action_fleet::deliver_late_effects()
{
    while (m_running_callers > 0) {
        if (chance(0.2)) {
            deliver_one_late_effect();
        }
        if (chance(m_faults.owner_crash)) {
            m_owners[m_random() % m_owners.size()]->restart();
        }
        m_interleaver.yield();
    }
}

void action_fleet::deliver_one_late_effect()
{
    if (m_late.empty()) {
        return;
    }
    const auto at = m_late.begin() + static_cast<std::ptrdiff_t>(m_random() % m_late.size());
    const auto effect = std::move(*at);
    m_late.erase(at);
    effect();
}

void action_fleet::settle_all()
{
    for (const auto& entry : m_daemons) {
        entry->ledger.retry_pending(entry->ledger.pending());
        if (entry->ledger.pending() > 0) {
            m_blocked.push_back(entry->attempts.daemon().instance);
        }
    }
}

void action_fleet::ask_again_without_faults()
{
    for (const auto& key : m_keys) {
        const auto error = call(key);
        const bool blocked =
            error == error_kind::action_in_progress || error == error_kind::store_unavailable;
        if (blocked) {
            m_blocked.push_back(key + ": " + std::string(answer_for(error).name));
        }
    }
}

std::shared_ptr<action_fleet::daemon> action_fleet::start_daemon(std::size_t index)
{
    const auto number = std::to_string(index);
    return std::make_shared<daemon>(
        *this,
        daemon_identity{"instance-" + number, "127.0.0.1:700" + number, ++m_last_incarnation});
}

void action_fleet::step(const daemon& at)
{
    if (!m_interleaved) {
        return;
    }
    m_clock.advance(std::chrono::milliseconds(m_random() % 30));
    if (chance(m_faults.pause)) {
        m_clock.advance(chance(0.5) ? request_timeout : 0s);
        m_interleaver.pause(m_random() % 100);
    }
    else {
        m_interleaver.yield();
    }
    const auto running = std::find_if(m_daemons.begin(), m_daemons.end(),
                                      [&](const auto& entry) { return entry.get() == &at; });
    if (running != m_daemons.end() && chance(m_faults.daemon_crash)) {
        // The tasks of the crashed daemon end at their next step and drop it.
        *running = start_daemon(static_cast<std::size_t>(running - m_daemons.begin()));
        throw daemon_crashed();
    }
    if (running == m_daemons.end()) {
        throw daemon_crashed();
    }
}

bool action_fleet::chance(double share)
{
    return share > 0 && std::uniform_real_distribution<>(0, 1)(m_random) < share;
}

std::shared_ptr<action_fleet::daemon> action_fleet::live_daemon(const std::string& address)
{
    const auto found = std::find_if(m_daemons.begin(), m_daemons.end(), [&](const auto& entry) {
        return entry->attempts.daemon().peer_address == address;
    });
    return *found;
}

bool action_fleet::is_alive(std::uint64_t incarnation)
{
    const bool alive = std::any_of(m_daemons.begin(), m_daemons.end(), [&](const auto& entry) {
        return entry->attempts.daemon().incarnation == incarnation;
    });
    return chance(m_faults.wrong_liveness) ? !alive : alive;
}

} // namespace galenaroad
