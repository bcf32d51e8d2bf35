#include "relay/owner_call.h"

namespace galenaroad {

namespace {

using namespace std::chrono_literals;

constexpr auto connect_timeout = 400ms;
constexpr auto max_idle = 8s;
// An at-most-once request cannot be resent if the server closes the reused connection, so it uses
// only recently active ones.
constexpr auto max_idle_at_most_once = 2s;
// The slowest network path has a latency of 30 ms; a small instance under load takes 200 ms.
constexpr auto acknowledgement_timeout = 600ms;
constexpr auto fetch_interval = 250ms;
// Larger bodies are sent only after the owner has admitted the request: refusals are frequent, and
// traffic between data centres has a cost. For smaller bodies, the additional round trip is not
// worth it.
constexpr std::size_t max_immediate_body_bytes = std::size_t{16} * 1024;
// Responses up to this size are buffered until they are complete, so that an incomplete one can be
// replaced by a retry.
constexpr std::size_t max_buffered_bytes = std::size_t{1} * 1024 * 1024;

} // namespace

owner_call::owner_call(relay_context& context, owner_request request, owner_call_hooks hooks)
    : m_context(context),
      m_request(std::move(request)),
      m_hooks(std::move(hooks)),
      m_request_id(http_head::find(m_request.head.fields, context.names.request_id).value_or("")),
      m_is_at_most_once(!is_idempotent(m_request.metadata.kind))
{
    const auto known = context.owner_tokens.find(m_request.owner);
    if (known != context.owner_tokens.end()) {
        m_owner_token = known->second;
    }
}

template <typename Action>
auto owner_call::guarded(Action action)
{
    const std::weak_ptr<owner_call> weak = weak_from_this();
    return [weak, action](const auto&... arguments) {
        const auto self = weak.lock();
        if (self && !self->m_has_ended) {
            action(*self, arguments...);
        }
    };
}

void owner_call::send()
{
    m_first_exchange = m_context.peers.send(owner(), wire_request(), hooks_for(source::first));
    arm(acknowledgement_timeout, &owner_call::on_acknowledgement_timeout);
}

client_request owner_call::wire_request() const
{
    client_request request;
    request.head = m_request.head;
    auto& fields = request.head.fields;
    http_head::remove_connection_fields(fields);
    http_head::remove(fields, attempt_report::header);
    http_head::remove(fields, response_query::header);
    http_head::set(fields, attempt_metadata::header,
                   relay_message_codec::encode(m_request.metadata));
    request.head.framing = {};
    request.body = m_request.body;
    request.expects_continue = m_request.body.size() > max_immediate_body_bytes;
    request.connect_timeout = connect_timeout;
    request.max_idle = m_is_at_most_once ? max_idle_at_most_once : max_idle;
    return request;
}

client_request owner_call::fetch_request() const
{
    const response_query query{m_request.metadata.attempt_id, m_owner_token};
    client_request request;
    request.head.method = "GET";
    request.head.target = response_query::path;
    request.head.fields = {{"Host", owner()},
                           {m_context.names.request_id, m_request_id},
                           {response_query::header, relay_message_codec::encode(query)}};
    request.connect_timeout = connect_timeout;
    return request;
}

client_hooks owner_call::hooks_for(source from)
{
    client_hooks hooks;
    hooks.interim = guarded([](owner_call& self) { self.on_acknowledged(); });
    hooks.head = guarded([from](owner_call& self, const auto& head) { self.on_head(from, head); });
    hooks.body = guarded([](owner_call& self, std::string_view bytes) { self.on_body(bytes); });
    hooks.complete = guarded([](owner_call& self) { self.on_complete(); });
    hooks.failed =
        guarded([from](owner_call& self, exchange_error error) { self.on_failed(from, error); });
    return hooks;
}

void owner_call::on_acknowledged()
{
    m_context.loop.cancel(m_timer);
    if (m_is_at_most_once) {
        arm(acknowledgement_interval + acknowledgement_timeout,
            &owner_call::on_acknowledgement_timeout);
    }
}

// Called when the connection is silent because the owner is unreachable or very slow. The call
// continues, since the response may still arrive.
void owner_call::on_acknowledgement_timeout()
{
    m_context.ranking.record_unreachable(owner(), m_context.now());
    if (m_is_at_most_once) {
        fetch();
        return;
    }
    log_decision("owner_silent", {});
    m_hooks.unacknowledged();
}

void owner_call::on_head(source from, const http_response_head& head)
{
    m_context.loop.cancel(m_timer);
    process_report(head);
    const bool response_is_unavailable =
        m_report.reason == owner_reason::forgotten && !m_first_connection_lost;
    if (from == source::fetch && response_is_unavailable) {
        // The first connection may still deliver the response.
        m_fetch_exchange->cancel();
        m_fetch_exchange.reset();
        return;
    }
    // Only one response is used; the other connection is closed.
    if (from == source::fetch) {
        m_first_exchange->cancel();
        m_first_connection_lost = true;
    }
    else if (m_fetch_exchange) {
        m_fetch_exchange->cancel();
        m_fetch_exchange.reset();
    }
    m_head = head;
    const bool is_result = m_report.result == owner_result::answered;
    m_body = buffered_body(m_context.response_buffers,
                           is_result ? max_buffered_bytes : max_rejection_bytes);
}

void owner_call::process_report(const http_response_head& head)
{
    const auto text = http_head::find(head.fields, attempt_report::header).value_or("");
    const auto report = relay_message_codec::decode_report(text);
    if (!report) {
        // The sender is not an owner of this fleet, so it is unknown what happened to the request.
        m_report = {};
        return;
    }
    m_report = *report;
    constexpr double percent = 100;
    owner_health health{report->failing_percent / percent, report->load_percent / percent,
                        accepts_requests(*report), std::nullopt, report->accepts_only_retryable};
    if (report->result != owner_result::not_run) {
        health.last_outcome_age = 0ms;
    }
    m_context.on_health_reported(owner(), health);
    m_context.owner_tokens[owner()] = report->token;
    m_context.on_plan_reported(report->plan_version, owner());
}

void owner_call::on_body(std::string_view bytes)
{
    if (m_is_streaming) {
        m_hooks.body_part(bytes);
        return;
    }
    if (!m_body.append(bytes)) {
        on_body_limit(bytes);
    }
}

void owner_call::on_body_limit(std::string_view bytes)
{
    if (m_report.result == owner_result::answered) {
        m_hooks.buffer_exceeded();
    }
    if (m_is_streaming) {
        m_hooks.body_part(bytes);
        return;
    }
    // An owner limits the other responses itself, so that these bytes do not come from an owner.
    log_decision("oversized_refusal", {{"received_bytes", std::to_string(body().size())}});
    end();
    m_hooks.failed(true);
}

void owner_call::stream_body()
{
    m_is_streaming = true;
    m_hooks.body_part(m_body.take());
}

void owner_call::on_complete()
{
    end();
    m_hooks.complete();
}

void owner_call::on_failed(source from, exchange_error error)
{
    if (from == source::first) {
        on_first_failed(error);
    }
    else {
        on_fetch_failed(error);
    }
}

void owner_call::on_first_failed(exchange_error error)
{
    const bool is_sent = was_sent(error);
    if (is_sent) {
        log_decision("peer_exchange_failed", {{"fault", std::string(exchange_error_name(error))},
                                              {"received_bytes", std::to_string(body().size())}});
        m_context.peers.close_idle(owner());
    }
    else {
        m_context.ranking.record_unreachable(owner(), m_context.now());
    }
    if (!is_sent || !m_is_at_most_once || m_is_streaming) {
        end();
        m_hooks.failed(is_sent);
        return;
    }
    m_first_connection_lost = true;
    if (!m_fetch_exchange) {
        fetch();
    }
}

void owner_call::on_fetch_failed(exchange_error error)
{
    log_decision("answer_not_fetched", {{"fault", std::string(exchange_error_name(error))}});
    m_fetch_exchange.reset();
    const bool owner_has_ended = error == exchange_error::refused;
    if (m_is_streaming || (owner_has_ended && m_first_connection_lost)) {
        // The rest of a streamed response cannot be fetched, and an owner that has ended has lost
        // its stored responses.
        end();
        m_hooks.failed(true);
        return;
    }
    arm(fetch_interval, &owner_call::fetch);
}

// The first connection stays open while it is merely silent: its response is as good as a fetched
// one.
void owner_call::fetch()
{
    ++m_fetch_count;
    log_decision("answer_fetched",
                 {{"fetch", std::to_string(m_fetch_count)},
                  {"first_connection", m_first_connection_lost ? "lost" : "silent"}});
    if (m_fetch_exchange) {
        m_fetch_exchange->cancel();
    }
    m_fetch_exchange = m_context.peers.send(owner(), fetch_request(), hooks_for(source::fetch));
    arm(acknowledgement_timeout, &owner_call::on_acknowledgement_timeout);
}

void owner_call::arm(std::chrono::milliseconds delay, void (owner_call::*action)())
{
    m_context.loop.cancel(m_timer);
    m_timer =
        m_context.loop.after(delay, guarded([action](owner_call& self) { (self.*action)(); }));
}

void owner_call::cancel()
{
    end();
}

void owner_call::pause(bool paused)
{
    if (!m_has_ended) {
        (m_fetch_exchange ? m_fetch_exchange : m_first_exchange)->pause(paused);
    }
}

void owner_call::log_decision(const char* decision, log_fields fields) const
{
    fields.emplace_back("owner", owner());
    m_context.log.note(decision, m_request_id, std::move(fields));
}

// Closes the connections that are still open.
void owner_call::end()
{
    m_has_ended = true;
    m_context.loop.cancel(m_timer);
    if (m_first_exchange) {
        m_first_exchange->cancel();
    }
    if (m_fetch_exchange) {
        m_fetch_exchange->cancel();
    }
}

} // namespace galenaroad
