#include "action/action_gate.h"

#include <algorithm>
#include <utility>

namespace galenaroad {

namespace {

// Together with the name of the business, a key stays below the usual limit of 512 bytes for row
// keys even when each byte is percent-encoded.
constexpr std::size_t max_key_size = 128;

bool is_valid_key(const std::string& key)
{
    const auto is_visible = [](char c) { return c > ' ' && c <= '~'; };
    return key.size() <= max_key_size && std::all_of(key.begin(), key.end(), is_visible);
}

action_decision refusal(error_kind error)
{
    action_decision decision;
    decision.kind = action_decision_kind::refuse;
    decision.error = error;
    return decision;
}

action_decision replay_of(recorded_response response)
{
    action_decision decision;
    decision.kind = action_decision_kind::replay;
    decision.response = std::move(response);
    decision.error = error_kind::ok;
    return decision;
}

error_kind error_of(claim_kind kind)
{
    switch (kind) {
    case claim_kind::in_progress:
        return error_kind::action_in_progress;
    case claim_kind::outcome_unknown:
        return error_kind::outcome_unknown;
    case claim_kind::key_reused:
        return error_kind::key_reused;
    case claim_kind::store_unavailable:
        return error_kind::store_unavailable;
    case claim_kind::won:
    case claim_kind::recorded:
        break;
    }
    return error_kind::internal;
}

error_kind error_of(issued_start_kind kind)
{
    switch (kind) {
    case issued_start_kind::in_progress:
        return error_kind::action_in_progress;
    case issued_start_kind::outcome_unknown:
        return error_kind::outcome_unknown;
    case issued_start_kind::key_reused:
        return error_kind::key_reused;
    case issued_start_kind::invalid:
        return error_kind::invalid_request;
    case issued_start_kind::run:
    case issued_start_kind::recorded:
        break;
    }
    return error_kind::internal;
}

} // namespace

action_gate::action_gate(action_ledger& ledger, issued_action_table& issued,
                         attempt_id_source& attempts, const clock& time, issuer_alive alive)
    : m_ledger(ledger),
      m_issued(issued),
      m_attempts(attempts),
      m_clock(time),
      m_alive(std::move(alive))
{
}

action_decision action_gate::decide(const action_request& request, const route& rule)
{
    if (!rule.once) {
        return run(duplicate_protection::none);
    }
    if (m_clock.steady_now() >= request.deadline) {
        return refusal(error_kind::deadline_exceeded_before_run);
    }
    if (request.key.empty()) {
        return rule.key_required ? refusal(error_kind::key_required)
                                 : run(duplicate_protection::no_key);
    }
    if (!is_valid_key(request.key)) {
        return refusal(error_kind::invalid_request);
    }
    return issued_key::is_issued(request.key) ? decide_issued_key(request)
                                              : decide_caller_key(request);
}

void action_gate::completed(const action_ticket& ticket, recorded_response response)
{
    if (response.body.size() > max_recorded_body_bytes) {
        outcome_unknown(ticket);
        return;
    }
    if (ticket.protection == duplicate_protection::caller_key) {
        m_ledger.complete(ticket.claim, std::move(response));
    }
    else if (ticket.protection == duplicate_protection::issued_key) {
        m_issued.complete(ticket.issued_serial, std::move(response));
    }
}

void action_gate::not_run(const action_ticket& ticket, not_run_proof proof)
{
    if (ticket.protection == duplicate_protection::caller_key) {
        m_ledger.release(ticket.claim, proof);
    }
    else if (ticket.protection == duplicate_protection::issued_key) {
        m_issued.release(ticket.issued_serial);
    }
}

void action_gate::outcome_unknown(const action_ticket& ticket)
{
    if (ticket.protection == duplicate_protection::caller_key) {
        m_ledger.mark_unknown(ticket.claim);
    }
    else if (ticket.protection == duplicate_protection::issued_key) {
        m_issued.mark_unknown(ticket.issued_serial);
    }
}

action_decision action_gate::decide_caller_key(const action_request& request)
{
    auto outcome =
        m_ledger.claim({request.business, request.key, request.digest, request.deadline});
    if (outcome.kind == claim_kind::recorded) {
        return replay_of(std::move(outcome.response));
    }
    if (outcome.kind != claim_kind::won) {
        return refusal(error_of(outcome.kind));
    }
    if (m_clock.steady_now() >= request.deadline) {
        m_ledger.release(outcome.claim, not_run_proof::never_dispatched);
        return refusal(error_kind::deadline_exceeded_before_run);
    }
    action_decision decision;
    decision.kind = action_decision_kind::run;
    decision.error = error_kind::ok;
    decision.ticket.protection = duplicate_protection::caller_key;
    decision.ticket.attempt_id = outcome.claim.attempt_id;
    decision.ticket.claim = std::move(outcome.claim);
    return decision;
}

action_decision action_gate::decide_issued_key(const action_request& request)
{
    const auto key = issued_key::parse(request.key);
    if (!key) {
        return refusal(error_kind::invalid_request);
    }
    const auto& own = m_attempts.daemon();
    if (key->issuer_address() == own.peer_address && key->incarnation() == own.incarnation) {
        return begin_issued(*key, request);
    }
    if (key->issuer_address() == own.peer_address ||
        !m_alive(key->issuer_address(), key->incarnation())) {
        return refusal(error_kind::outcome_unknown);
    }
    action_decision decision;
    decision.kind = action_decision_kind::forward;
    decision.error = error_kind::ok;
    decision.issuer_address = key->issuer_address();
    return decision;
}

action_decision action_gate::begin_issued(const issued_key& key, const action_request& request)
{
    // The digest covers only method, path and body, which may be equal for two businesses.
    auto outcome = m_issued.begin(key, request.business + "/" + request.digest);
    if (outcome.kind == issued_start_kind::recorded) {
        return replay_of(std::move(outcome.response));
    }
    if (outcome.kind != issued_start_kind::run) {
        return refusal(error_of(outcome.kind));
    }
    auto decision = run(duplicate_protection::issued_key);
    decision.ticket.issued_serial = key.serial();
    return decision;
}

action_decision action_gate::run(duplicate_protection protection)
{
    action_decision decision;
    decision.kind = action_decision_kind::run;
    decision.error = error_kind::ok;
    decision.ticket.protection = protection;
    decision.ticket.attempt_id = m_attempts.next();
    return decision;
}

} // namespace galenaroad
