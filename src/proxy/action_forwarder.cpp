#include "proxy/action_forwarder.h"

#include "action/request_digest.h"
#include "peer/peer_limits.h"
#include "proxy/recording_sink.h"

#include <algorithm>

namespace galenaroad {

namespace {

action_request request_of(const forward_order& order, const replayable_body& body)
{
    request_digest digest(order.request.method, order.request.target);
    digest.append_body(body.kept());
    action_request made;
    made.business = std::string(order.route.business);
    made.key = order.request.idempotency_key;
    made.digest = digest.text();
    made.deadline = order.context.deadline;
    return made;
}

not_run_proof proof_of(const attempt_result& outcome)
{
    return outcome.kind == error_kind::peer_unreachable ||
                   outcome.kind == error_kind::service_unavailable
               ? not_run_proof::never_dispatched
               : not_run_proof::owner_refused;
}

} // namespace

action_forwarder::action_forwarder(forwarder& forward, services_source services)
    : m_forward(forward), m_services(std::move(services))
{
}

std::size_t action_forwarder::kept_bytes(const forward_order& order)
{
    return order.route.declared->once ? max_keyed_body_bytes : replayable_body::default_kept_bytes;
}

attempt_result action_forwarder::run(forward_order& order, replayable_body& body, answer_sink& sink)
{
    if (!order.route.declared->once) {
        return m_forward.forward(order, body, sink);
    }
    const auto services = m_services();
    if (!services) {
        return attempt_result::failed(error_kind::configuration_unavailable, "");
    }
    if (!order.request.idempotency_key.empty() && !body.is_replayable()) {
        return attempt_result::failed(error_kind::request_too_large,
                                      "The body of an action with a key exceeds 1 MiB");
    }
    return run_action(*services, order, body, sink);
}

attempt_result action_forwarder::run_action(action_services& services, forward_order& order,
                                            replayable_body& body, answer_sink& sink)
{
    auto& gate = services.gate();
    const auto decision = gate.decide(request_of(order, body), *order.route.declared);
    switch (decision.step) {
    case action_step::run:
        return dispatch(gate, decision.ticket, order, body, sink);
    case action_step::replay:
        return replay(decision.response, sink);
    case action_step::pass_on:
        // The issuer itself decides; a second hop means that two daemons disagree about it.
        return order.passed_on
                   ? attempt_result::failed(error_kind::outcome_unknown, "The issuer of the key")
                   : m_forward.pass_on(order, body, sink, decision.issuer_address);
    case action_step::refuse:
        break;
    }
    return attempt_result::failed(decision.error, "");
}

attempt_result action_forwarder::dispatch(action_gate& gate, const action_ticket& ticket,
                                          forward_order& order, replayable_body& body,
                                          answer_sink& sink)
{
    order.attempt_id = ticket.attempt_id;
    recording_sink recorder(sink);
    auto outcome = m_forward.forward(order, body, recorder);
    if (outcome.ok()) {
        // A caller that asks again at once finds the response of an issued key. The table may be
        // slow, so that with a caller's key the response does not wait for it.
        if (ticket.way == action_way::issued_key) {
            gate.completed(ticket, recorder.copy());
            recorder.flush();
        }
        else {
            recorder.flush();
            gate.completed(ticket, recorder.copy());
        }
    }
    else if (outcome.run == run_state::not_run) {
        gate.not_run(ticket, proof_of(outcome));
    }
    else {
        gate.outcome_unknown(ticket);
    }
    outcome.sink_gone = outcome.sink_gone || recorder.is_receiver_gone();
    return outcome;
}

attempt_result action_forwarder::replay(const recorded_response& response, answer_sink& sink)
{
    answer_head head;
    head.status = response.status;
    head.content_length = static_cast<std::int64_t>(response.body.size());
    for (const auto& field : response.headers) {
        head.headers.push_back({field.name, field.value});
    }
    attempt_result outcome;
    outcome.status = response.status;
    outcome.answer_started = true;
    outcome.sink_gone = !sink.begin(head);
    for (std::size_t at = 0; at < response.body.size() && !outcome.sink_gone;
         at += max_chunk_bytes) {
        const auto part = std::string_view(response.body).substr(at, max_chunk_bytes);
        outcome.sink_gone = !sink.write(part);
    }
    return outcome;
}

} // namespace galenaroad
