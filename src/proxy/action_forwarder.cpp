#include "proxy/action_forwarder.h"

#include "action/request_digest.h"
#include "peer/peer_limits.h"
#include "proxy/bounded_claim.h"
#include "proxy/recording_sink.h"

#include <algorithm>
#include <future>

namespace galenaroad {

namespace {

// Long enough for a table service in another region (two round trips of 24 ms); a slower one does
// not delay the response further.
constexpr auto longest_record_wait = std::chrono::milliseconds(100);

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

action_forwarder::action_forwarder(forwarder& forward, services_source services, const clock& time)
    : m_forward(forward), m_services(std::move(services)), m_clock(time), m_executor(store_threads)
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
    return run_action(services, order, body, sink);
}

action_decision action_forwarder::decide(const shared_services& services,
                                         const forward_order& order, const replayable_body& body)
{
    // After half of its time, an action would have too little left to run.
    const auto longest_wait = order.context.remaining(m_clock.steady_now()) / 2;
    const auto claim =
        std::make_shared<bounded_claim>(services, request_of(order, body), *order.route.declared);
    return claim->decide(m_executor, longest_wait);
}

attempt_result action_forwarder::run_action(const shared_services& services, forward_order& order,
                                            replayable_body& body, answer_sink& sink)
{
    const bool needs_store = !order.request.idempotency_key.empty();
    const auto decision =
        needs_store ? decide(services, order, body)
                    : services->gate().decide(request_of(order, body), *order.route.declared);
    switch (decision.kind) {
    case action_decision_kind::run:
        return dispatch(services, decision.ticket, order, body, sink);
    case action_decision_kind::replay:
        return replay(decision.response, sink);
    case action_decision_kind::forward:
        // The issuer itself decides; a second hop means that two daemons disagree about it.
        return order.passed_on
                   ? attempt_result::failed(error_kind::outcome_unknown, "The issuer of the key")
                   : m_forward.pass_on(order, body, sink, decision.issuer_address);
    case action_decision_kind::refuse:
        break;
    }
    return attempt_result::failed(decision.error, "");
}

attempt_result action_forwarder::dispatch(const shared_services& services,
                                          const action_ticket& ticket, forward_order& order,
                                          replayable_body& body, answer_sink& sink)
{
    order.attempt_id = ticket.attempt_id;
    recording_sink recorder(sink);
    auto outcome = m_forward.forward(order, body, recorder);
    if (outcome.ok()) {
        // A caller that asks again at once finds the response of an issued key.
        const auto recorded = std::make_shared<std::promise<void>>();
        settle(ticket, [services, ticket, recorded, response = recorder.copy()] {
            services->gate().completed(ticket, response);
            recorded->set_value();
        });
        recorded->get_future().wait_for(longest_record_wait);
        recorder.flush();
    }
    else if (outcome.run == run_state::not_run) {
        settle(ticket, [services, ticket, proof = proof_of(outcome)] {
            services->gate().not_run(ticket, proof);
        });
    }
    else {
        settle(ticket, [services, ticket] { services->gate().outcome_unknown(ticket); });
    }
    outcome.sink_gone = outcome.sink_gone || recorder.is_receiver_gone();
    return outcome;
}

// With a caller's key the settlement is written to the table, which may be slow: the response does
// not wait for it. The claim stays in force until then, so nothing runs twice.
void action_forwarder::settle(const action_ticket& ticket, const std::function<void()>& settlement)
{
    if (ticket.protection != duplicate_protection::caller_key || !m_executor.post(settlement)) {
        settlement();
    }
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
