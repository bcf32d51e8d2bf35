#include "proxy/forwarder.h"

#include "routing/upstream_selector.h"

#include <grpcpp/client_context.h>

namespace galenaroad {

/// State of a request across its attempts.
struct forwarder::progress {
    random_engine random;
    std::vector<upstream_id> tried;
    int attempts = 0;
    bool retry_granted = false;
};

namespace {

// Time for the owner to answer a fence; it holds the answer in memory.
constexpr auto fence_timeout = std::chrono::milliseconds(250);

service_id service_of(const forward_order& order)
{
    return {std::string(order.route.business), order.route.declared->service};
}

bool is_idempotent(const forward_order& order)
{
    const auto& method = order.request.method;
    const bool is_idempotent_method = method == "GET" || method == "HEAD" || method == "OPTIONS" ||
                                      method == "PUT" || method == "DELETE";
    const auto& route = *order.route.declared;
    return is_idempotent_method && !route.once && route.work != request_class::action;
}

// Time that an attempt spends on links and in the owner's queue before the upstream starts it.
std::chrono::milliseconds allowance_for(link_distance distance)
{
    constexpr std::chrono::milliseconds queue_wait(50);
    constexpr std::chrono::milliseconds near_round_trip(4);
    constexpr std::chrono::milliseconds region_round_trip(30);
    return queue_wait +
           (distance == link_distance::cross_region ? region_round_trip : near_round_trip);
}

bool is_server_failure(int status)
{
    return status == 500 || status == 502 || status == 503 || status == 504;
}

} // namespace

forwarder::forwarder(entry_parts parts) : m_parts(std::move(parts)) {}

attempt_result forwarder::forward(forward_order& order, replayable_body& body, answer_sink& sink)
{
    progress state{random_engine(m_parts.ids.seed()), {}, 0, false};
    m_parts.budgets.note_request(service_of(order));
    attempt_result outcome;
    do {
        const auto* const target = select(order, state);
        if (target == nullptr) {
            return state.attempts > 0 ? outcome
                                      : attempt_result::failed(error_kind::service_unavailable, "");
        }
        state.retry_granted = false;
        body.rewind();
        outcome = attempt(order, *target, body, sink, state);
        state.tried.push_back(target->id());
    } while (!outcome.ok() && may_retry(order, outcome, body, state));
    return outcome;
}

attempt_result forwarder::pass_on(forward_order& order, replayable_body& body, answer_sink& sink,
                                  const std::string& issuer_address)
{
    body.rewind();
    const auto deadline = order.context.deadline;
    forward_attempt call(m_parts.clients.client(issuer_address), m_parts.guard, m_parts.time);
    call.use_issued_action();
    auto outcome = call.run(head_of(order), body, sink, {deadline, deadline},
                            [](int /*status*/) { return true; })
                       .result;
    // An earlier request with the key may have run at the issuer, which cannot be asked now.
    if (outcome.kind == error_kind::peer_unreachable) {
        return attempt_result::failed(error_kind::outcome_unknown, "The issuer of the key");
    }
    return outcome;
}

const upstream_candidate* forwarder::select(const forward_order& order, progress& state) const
{
    const auto* const candidates = order.view->routing->candidates(service_of(order));
    if (candidates == nullptr) {
        return nullptr;
    }
    return upstream_selector().select(*candidates, state.tried, m_parts.time.steady_now(),
                                      state.random);
}

attempt_result forwarder::attempt(forward_order& order, const upstream_candidate& target,
                                  replayable_body& body, answer_sink& sink, progress& state)
{
    ++state.attempts;
    const auto started = m_parts.time.steady_now();
    if (started >= order.context.deadline) {
        return attempt_result::failed(error_kind::deadline_exceeded_before_run, "");
    }
    const auto client = m_parts.clients.client(target.peer_address());
    forward_attempt call(client, m_parts.guard, m_parts.time);
    const auto accepts = [&](int status) {
        if (!is_server_failure(status) || !is_idempotent(order)) {
            return true;
        }
        auto failed = attempt_result::failed(error_kind::upstream_failed, "");
        state.retry_granted = may_retry(order, failed, body, state);
        return !state.retry_granted;
    };
    const open_attempt_table::guard running(
        m_parts.open, {service_of(order),
                       target.id(),
                       {order.route.declared->work, started + allowance_for(target.distance)},
                       false});
    target.load->request_started();
    auto head = head_of(order);
    head.set_attempt_id(attempt_id_of(order, state));
    head.set_upstream(target.announced().name);
    head.set_owner_incarnation(target.owner_incarnation());
    const auto outcome =
        call.run(std::move(head), body, sink, times_of(order, body, state), accepts);
    target.load->request_finished();
    note_end(order, target, outcome, started);
    const bool is_silent =
        call.is_head_late() || outcome.result.kind == error_kind::peer_unreachable;
    if (is_silent) {
        m_parts.clients.discard(client);
    }
    if (outcome.result.run == run_state::unknown && !outcome.result.answer_started &&
        !is_idempotent(order)) {
        return settle_by_fence(order, target, attempt_id_of(order, state), outcome.result);
    }
    return outcome.result;
}

// Only the owner that was asked to start the attempt can tell that it never will.
attempt_result forwarder::settle_by_fence(const forward_order& order,
                                          const upstream_candidate& target,
                                          const std::string& attempt_id, attempt_result outcome)
{
    const auto left = order.context.remaining(m_parts.time.steady_now());
    if (left.count() == 0) {
        return outcome;
    }
    grpc::ClientContext context;
    context.set_deadline(std::chrono::system_clock::now() + std::min(left, fence_timeout));
    peer::FenceRequest request;
    request.set_attempt_id(attempt_id);
    request.set_owner_incarnation(target.owner_incarnation());
    peer::FenceResponse response;
    const auto client = m_parts.clients.client(target.peer_address());
    const auto status = client->stub->FenceAttempt(&context, request, &response);
    if (status.ok() && response.state() == peer::FenceResponse::NOT_RUN) {
        auto proved = attempt_result::failed(error_kind::peer_unreachable, outcome.detail);
        proved.run = run_state::not_run;
        return proved;
    }
    return outcome;
}

bool forwarder::may_retry(forward_order& order, const attempt_result& outcome,
                          const replayable_body& body, progress& state)
{
    if (state.retry_granted) {
        return true;
    }
    failed_attempt failed;
    failed.kind = outcome.kind;
    failed.run = outcome.run;
    failed.attempts = state.attempts;
    failed.idempotent = is_idempotent(order);
    failed.replayable = body.is_replayable();
    failed.response_started = outcome.answer_started;
    return !outcome.sink_gone && m_parts.budgets.may_retry(service_of(order), failed, order.context,
                                                           m_parts.time.steady_now());
}

std::string forwarder::attempt_id_of(const forward_order& order, const progress& state)
{
    return order.attempt_id.empty() ? order.request.id + "-" + std::to_string(state.attempts)
                                    : order.attempt_id;
}

peer::RequestHead forwarder::head_of(const forward_order& order)
{
    const auto& request = order.request;
    const auto& route = *order.route.declared;
    peer::RequestHead head;
    head.set_request_id(request.id);
    head.set_business(std::string(order.route.business));
    head.set_service(route.service);
    head.set_method(request.method);
    head.set_target(request.target);
    head.set_depth(static_cast<std::uint32_t>(order.context.depth));
    head.set_retry_budget(static_cast<std::uint32_t>(order.context.retries_left));
    head.set_traceparent(request.traceparent);
    head.set_configuration_version(order.view->contract_version(head.business()));
    head.set_work_class(static_cast<std::uint32_t>(route.work));
    head.set_once(route.once);
    head.set_content_length(request.content_length);
    head.set_caller(request.caller);
    head.set_idempotency_key(request.idempotency_key);
    for (const auto& field : request.headers) {
        auto& added = *head.add_headers();
        added.set_name(field.name);
        added.set_value(field.value);
    }
    return head;
}

attempt_times forwarder::times_of(const forward_order& order, const replayable_body& body,
                                  const progress& state) const
{
    const auto now = m_parts.time.steady_now();
    // An action that takes long is not cancelled early: it would end with an unknown outcome.
    const bool retry_possible =
        is_idempotent(order) && body.is_replayable() && state.attempts < retry_policy::max_attempts;
    const auto timeout = retry_policy::attempt_timeout(order.context, retry_possible, now);
    return {now + timeout, order.context.deadline};
}

void forwarder::note_version(const forward_order& order, const upstream_candidate& target,
                             std::uint64_t version) const
{
    const std::string business(order.route.business);
    if (version > order.view->contract_version(business)) {
        m_parts.heard({business, version}, target.peer_address());
    }
}

void forwarder::note_end(const forward_order& order, const upstream_candidate& target,
                         const forward_outcome& outcome, steady_time started)
{
    const auto now = m_parts.time.steady_now();
    if (outcome.result.ok()) {
        target.load->report(static_cast<int>(outcome.trailer.slots_in_use()),
                            static_cast<int>(outcome.trailer.queued()), now);
        note_version(order, target, outcome.trailer.configuration_version());
    }
    entry_observation seen;
    seen.service = service_of(order);
    seen.target = target.id();
    seen.work = order.route.declared->work;
    seen.outcome = outcome.result;
    seen.elapsed = std::chrono::duration_cast<std::chrono::microseconds>(now - started);
    seen.service_time = std::chrono::microseconds(outcome.trailer.service_time_us());
    seen.first_byte = std::chrono::microseconds(outcome.trailer.first_byte_us());
    constexpr double permille = 1000;
    seen.report = {outcome.trailer.preference_permille() / permille,
                   std::chrono::milliseconds(outcome.trailer.hold_ms())};
    m_parts.observe(seen);
}

} // namespace galenaroad
