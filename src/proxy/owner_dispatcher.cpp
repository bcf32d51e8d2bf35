#include "proxy/owner_dispatcher.h"

#include "proxy/backend_call.h"
#include "proxy/stream_body_source.h"

#include <algorithm>

namespace galenaroad {

/// One forwarded request while it is handled.
struct owner_dispatcher::attempt {
    grpc::ServerContext& context;
    const peer::RequestHead& head;
    stream_body_source& body;
    stream_answer_sink& sink;
    steady_time arrived;
    steady_time deadline;
    std::chrono::microseconds service_time{0};
    gate_load load{};
    span_builder* hop = nullptr;

    request_class work() const
    {
        return static_cast<request_class>(std::min<std::uint32_t>(head.work_class(), 2));
    }
};

namespace {

bool is_safe_to_repeat(const peer::RequestHead& head)
{
    const auto& method = head.method();
    const bool is_idempotent_method = method == "GET" || method == "HEAD" || method == "OPTIONS" ||
                                      method == "PUT" || method == "DELETE";
    const bool is_action = head.work_class() == static_cast<std::uint32_t>(request_class::action);
    return is_idempotent_method && !head.once() && !is_action;
}

attempt_result not_run(error_kind kind, std::string detail)
{
    auto outcome = attempt_result::failed(kind, std::move(detail));
    outcome.run = run_state::not_run;
    return outcome;
}

attempt_result refusal(start_decision decision)
{
    switch (decision) {
    case start_decision::fenced:
        return not_run(error_kind::deadline_exceeded_before_run, "The attempt was fenced");
    case start_decision::expired:
        return not_run(error_kind::deadline_exceeded_before_run, "No time was left");
    case start_decision::table_full:
        return not_run(error_kind::upstream_busy, "Too many attempts are remembered");
    default:
        return attempt_result::failed(error_kind::outcome_unknown,
                                      "The attempt was started before");
    }
}

header_list headers_for_backend(const peer::RequestHead& head, std::chrono::milliseconds left)
{
    header_list headers;
    for (const auto& field : head.headers()) {
        headers.push_back({field.name(), field.value()});
    }
    headers.push_back({"X-Request-Timeout-Ms", std::to_string(left.count())});
    headers.push_back({"X-Call-Depth", std::to_string(head.depth() + 1)});
    headers.push_back({"X-Retry-Budget", std::to_string(head.retry_budget())});
    return headers;
}

void add_report(const owner_assessment& report, peer::ResponseTrailer& trailer)
{
    constexpr double permille = 1000;
    trailer.set_preference_permille(static_cast<std::uint32_t>(report.preference * permille));
    trailer.set_hold_ms(static_cast<std::uint32_t>(report.hold_remaining.count()));
}

peer::FenceResponse::State to_message(attempt_state state)
{
    switch (state) {
    case attempt_state::not_run:
        return peer::FenceResponse::NOT_RUN;
    case attempt_state::running:
        return peer::FenceResponse::RUNNING;
    case attempt_state::finished:
        return peer::FenceResponse::FINISHED;
    case attempt_state::unknown:
        break;
    }
    return peer::FenceResponse::UNKNOWN;
}

} // namespace

owner_dispatcher::owner_dispatcher(owner_parts parts)
    : m_parts(std::move(parts)), m_attempts(remembered_attempts)
{
}

void owner_dispatcher::handle(grpc::ServerContext& context, forward_stream& stream)
{
    const auto arrived = m_parts.time.steady_now();
    peer::ForwardRequest first;
    if (!stream.Read(&first)) {
        return;
    }
    const auto& head = first.head();
    stream_answer_sink sink(stream, first.request_id());
    if (!first.has_head() || head.request_id() != first.request_id()) {
        sink.fail(attempt_result::failed(error_kind::answer_mismatched,
                                         "The stream does not start with its own head"));
        return;
    }
    stream_body_source body(stream, first.request_id(), head.content_length());
    const auto deadline = arrived + std::chrono::milliseconds(head.remaining_ms());
    auto hop = m_parts.telemetry.receive("owner", head.traceparent());
    hop.attribute("galenaroad.request_id", head.request_id());
    hop.attribute("galenaroad.upstream", head.upstream());
    attempt run{context, head, body, sink, arrived, deadline, {}, {}, &hop};
    if (!m_parts.gate.enter_owner()) {
        sink.fail(attempt_result::failed(error_kind::leaving, "The instance is shutting down"));
        return;
    }
    end(run, dispatch(run));
    m_parts.gate.leave_owner();
}

attempt_result owner_dispatcher::dispatch(attempt& run)
{
    const auto& head = run.head;
    if (head.owner_incarnation() != m_parts.incarnation) {
        return not_run(error_kind::peer_unreachable, "The daemon has been restarted");
    }
    const auto upstreams = m_parts.upstreams.load();
    const auto found = upstreams->find(head.upstream());
    const service_id service{head.business(), head.service()};
    if (found == upstreams->end() || found->second.announced.service != service) {
        return not_run(error_kind::service_unavailable, "The upstream is not announced here");
    }
    if (found->second.announced.state == upstream_state::leaving) {
        return not_run(error_kind::leaving, "The backend server is shutting down");
    }
    return admit_and_run(run, found->second);
}

attempt_result owner_dispatcher::admit_and_run(attempt& run, const local_upstream& target)
{
    admission_request wanted;
    wanted.caller = run.head.caller();
    wanted.work = run.work();
    wanted.depth = static_cast<int>(run.head.depth());
    wanted.deadline = run.deadline;
    const auto admission = target.gate->enter(wanted);
    if (!admission.admitted) {
        auto outcome = not_run(admission.reason, "The upstream is at its limit");
        outcome.retry_after = std::max(outcome.retry_after, admission.retry_after);
        run.load = target.gate->load();
        return outcome;
    }
    const auto started = m_parts.time.steady_now();
    const open_attempt_table::guard running(m_parts.open,
                                            {target.announced.service,
                                             {m_parts.instance, target.announced.id.name},
                                             {run.work(), started},
                                             true});
    auto outcome = start_and_run(run, target);
    run.service_time =
        std::chrono::duration_cast<std::chrono::microseconds>(m_parts.time.steady_now() - started);
    target.gate->release(started);
    run.load = target.gate->load();
    return outcome;
}

attempt_result owner_dispatcher::start_and_run(attempt& run, const local_upstream& target)
{
    if (run.context.IsCancelled()) {
        return not_run(error_kind::deadline_exceeded_before_run, "The call was cancelled");
    }
    if (is_safe_to_repeat(run.head)) {
        return call_backend(run, target);
    }
    return run_registered(run, target);
}

attempt_result owner_dispatcher::run_registered(attempt& run, const local_upstream& target)
{
    const auto& id = run.head.attempt_id();
    auto decision = start_decision::expired;
    {
        const std::lock_guard<std::mutex> lock(m_attempts_mutex);
        decision = m_attempts.start(id, run.deadline, m_parts.time.steady_now());
    }
    if (decision != start_decision::started) {
        return refusal(decision);
    }
    auto outcome = call_backend(run, target);
    const std::lock_guard<std::mutex> lock(m_attempts_mutex);
    m_attempts.finish(id, outcome.ok() ? outcome.status : 0);
    return outcome;
}

attempt_result owner_dispatcher::call_backend(attempt& run, const local_upstream& target)
{
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
        run.deadline - m_parts.time.steady_now());
    if (left.count() <= 0) {
        return not_run(error_kind::deadline_exceeded_before_run, "No time was left");
    }
    backend_order order;
    order.address = target.address;
    order.request_id = run.head.request_id();
    order.method = run.head.method();
    order.target = run.head.target();
    order.headers = headers_for_backend(run.head, left);
    order.content_length = run.head.content_length();
    order.deadline = run.deadline;
    order.idempotent = is_safe_to_repeat(run.head);
    order.is_cancelled = [&run] { return run.context.IsCancelled(); };
    auto call = m_parts.telemetry.call("backend_call", run.hop->context());
    order.headers.push_back({"traceparent", call.context().header()});
    auto outcome = backend_call(m_parts.backends, m_parts.time).run(order, run.body, run.sink);
    m_parts.telemetry.finish(call, outcome);
    constexpr int too_many_requests = 429;
    constexpr int service_unavailable = 503;
    if (outcome.status == too_many_requests || outcome.status == service_unavailable) {
        target.gate->note_shed();
    }
    return outcome;
}

void owner_dispatcher::end(attempt& run, const attempt_result& outcome)
{
    if (outcome.ok()) {
        peer::ResponseTrailer trailer;
        trailer.set_service_time_us(static_cast<std::uint32_t>(run.service_time.count()));
        trailer.set_slots_in_use(static_cast<std::uint32_t>(run.load.in_use));
        trailer.set_queued(static_cast<std::uint32_t>(run.load.queued));
        trailer.set_configuration_version(m_parts.contract_version(run.head.business()));
        trailer.set_first_byte_us(static_cast<std::uint32_t>(outcome.first_byte.count()));
        add_report(m_parts.report(run.head.upstream()), trailer);
        run.sink.finish(std::move(trailer));
    }
    else if (!outcome.sink_gone) {
        run.sink.fail(outcome);
    }
    m_parts.telemetry.finish(*run.hop, outcome);
    m_parts.telemetry.count("owner", {run.head.business(), run.head.service()}, outcome,
                            m_parts.time.steady_now() - run.arrived);
    m_parts.observe({{run.head.business(), run.head.service()},
                     run.head.upstream(),
                     run.work(),
                     outcome,
                     run.service_time});
}

peer::FenceResponse owner_dispatcher::fence(const peer::FenceRequest& request)
{
    peer::FenceResponse response;
    if (request.owner_incarnation() != m_parts.incarnation) {
        return response;
    }
    const std::lock_guard<std::mutex> lock(m_attempts_mutex);
    const auto standing = m_attempts.fence(request.attempt_id(), m_parts.time.steady_now());
    response.set_state(to_message(standing.state));
    response.set_status(static_cast<std::uint32_t>(standing.status));
    return response;
}

} // namespace galenaroad
