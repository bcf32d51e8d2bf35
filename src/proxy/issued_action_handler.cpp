#include "proxy/issued_action_handler.h"

#include "net/header_rules.h"
#include "proxy/stream_answer_sink.h"
#include "proxy/stream_body_source.h"

#include <Poco/String.h>

namespace galenaroad {

namespace {

entry_request request_of(const peer::RequestHead& head)
{
    entry_request made;
    made.id = head.request_id();
    made.method = head.method();
    made.target = head.target();
    made.path = made.target.substr(0, made.target.find('?'));
    for (const auto& field : head.headers()) {
        made.headers.push_back({field.name(), field.value()});
    }
    const auto* const host = header_rules::find(made.headers, "Host");
    made.host = host == nullptr ? std::string()
                                : Poco::toLower(host->value.substr(0, host->value.rfind(':')));
    made.has_body = head.content_length() != 0;
    made.content_length = head.content_length();
    made.idempotency_key = head.idempotency_key();
    made.traceparent = head.traceparent();
    made.caller = head.caller();
    return made;
}

} // namespace

issued_action_handler::issued_action_handler(const clock& time, work_gate& gate,
                                             const snapshot_cell<fleet_view>& view,
                                             action_forwarder& forward)
    : m_clock(time), m_gate(gate), m_view(view), m_forward(forward)
{
}

void issued_action_handler::handle(forward_stream& stream)
{
    peer::ForwardRequest first;
    if (!stream.Read(&first)) {
        return;
    }
    stream_answer_sink sink(stream, first.request_id());
    if (!first.has_head() || first.head().request_id() != first.request_id()) {
        sink.fail(attempt_result::failed(error_kind::answer_mismatched, ""));
        return;
    }
    const auto& head = first.head();
    if (!m_gate.enter_entry(static_cast<int>(head.depth()))) {
        sink.fail(attempt_result::failed(error_kind::leaving, "The issuer is shutting down"));
        return;
    }
    stream_body_source source(stream, head.request_id(), head.content_length());
    const auto outcome = run(head, source, sink);
    m_gate.leave_entry();
    if (outcome.ok()) {
        sink.finish({});
    }
    else {
        sink.fail(outcome);
    }
}

attempt_result issued_action_handler::run(const peer::RequestHead& head, body_source& source,
                                          answer_sink& sink)
{
    const auto request = request_of(head);
    auto view = m_view.load();
    if (!view->ready) {
        return attempt_result::failed(error_kind::configuration_unavailable, "");
    }
    const auto matched = view->routing->routes().match(request.host, request.method, request.path);
    if (!matched) {
        return attempt_result::failed(error_kind::route_not_found, "");
    }
    call_context context;
    context.depth = static_cast<int>(head.depth());
    context.retries_left = static_cast<int>(head.retry_budget());
    context.deadline = m_clock.steady_now() + std::chrono::milliseconds(head.remaining_ms());
    forward_order order{request, std::move(view), matched, context, {}, true};
    replayable_body body(source, action_forwarder::kept_bytes(order));
    const auto state = body.read_all();
    if (state != body_state::complete && state != body_state::more) {
        return attempt_result::failed(error_kind::invalid_request, "The request body ended early");
    }
    return m_forward.run(order, body, sink);
}

} // namespace galenaroad
