#include "relay/owner_call.h"

namespace galenaroad {

namespace {

using namespace std::chrono_literals;

constexpr auto connect_timeout = 400ms;
constexpr auto max_idle = 8s;
// A request that must not run twice is lost with its connection; only a fresh one is used again.
constexpr auto max_idle_at_most_once = 2s;
// The longest way takes 30 ms, a busy small instance 200 ms.
constexpr auto acknowledgement_time = 600ms;
constexpr auto fetch_interval = 250ms;
// A larger body is sent once the owner has admitted the request: refusals are frequent, and bytes
// between data centres have a price. A smaller one is not worth the round trip.
constexpr std::size_t max_unasked_body_bytes = std::size_t{16} * 1024;
// Responses up to this size are kept until they are complete, so that one that breaks off can be
// replaced by another attempt.
constexpr std::size_t max_kept_bytes = std::size_t{1} * 1024 * 1024;

} // namespace

owner_call::owner_call(relay_context& context, owner_request request, owner_call_hooks hooks)
    : m_context(context),
      m_request(std::move(request)),
      m_hooks(std::move(hooks)),
      m_request_id(http_head::find(m_request.head.fields, context.names.request_id).value_or("")),
      m_runs_once(!is_idempotent(m_request.order.kind))
{
    const auto known = context.owner_tokens.find(m_request.owner);
    if (known != context.owner_tokens.end()) {
        m_token = known->second;
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
    m_call = m_context.peers.send(owner(), wire_request(), hooks_for(source::first));
    arm(acknowledgement_time, &owner_call::on_silent);
}

client_request owner_call::wire_request() const
{
    client_request made;
    made.head = m_request.head;
    auto& fields = made.head.fields;
    http_head::remove_connection_fields(fields);
    http_head::remove(fields, attempt_report::header);
    http_head::remove(fields, response_query::header);
    http_head::set(fields, attempt_metadata::header, relay_message_codec::encode(m_request.order));
    made.head.framing = {};
    made.body = m_request.body;
    made.expects_continue = m_request.body.size() > max_unasked_body_bytes;
    made.connect_timeout = connect_timeout;
    made.max_idle = m_runs_once ? max_idle_at_most_once : max_idle;
    return made;
}

client_request owner_call::fetch_request() const
{
    const response_query query{m_request.order.attempt_id, m_token};
    client_request made;
    made.head.method = "GET";
    made.head.target = response_query::path;
    made.head.fields = {{"Host", owner()},
                        {m_context.names.request_id, m_request_id},
                        {response_query::header, relay_message_codec::encode(query)}};
    made.connect_timeout = connect_timeout;
    return made;
}

client_hooks owner_call::hooks_for(source from)
{
    client_hooks hooks;
    hooks.interim = guarded([](owner_call& self) { self.on_acknowledged(); });
    hooks.head = guarded([from](owner_call& self, const auto& head) { self.on_head(from, head); });
    hooks.body = guarded([](owner_call& self, std::string_view bytes) { self.on_body(bytes); });
    hooks.complete = guarded([](owner_call& self) { self.on_complete(); });
    hooks.failed =
        guarded([from](owner_call& self, exchange_error fault) { self.on_failed(from, fault); });
    return hooks;
}

void owner_call::on_acknowledged()
{
    m_context.loop.cancel(m_timer);
    if (m_runs_once) {
        arm(acknowledgement_interval + acknowledgement_time, &owner_call::on_silent);
    }
}

// The connection has fallen silent, its owner is cut off, or very slow. The call goes on, since
// the answer may still come.
void owner_call::on_silent()
{
    m_context.ranking.note_unreachable(owner(), m_context.now());
    if (m_runs_once) {
        fetch();
        return;
    }
    note("owner_silent", {});
    m_hooks.silent();
}

void owner_call::on_head(source from, const http_response_head& head)
{
    m_context.loop.cancel(m_timer);
    read_report(head);
    const bool is_of_no_use = m_report.reason == owner_reason::forgotten && !m_is_lost;
    if (from == source::fetch && is_of_no_use) {
        // The first connection may still bring the answer.
        m_fetch->cancel();
        m_fetch.reset();
        return;
    }
    // One response only is taken; the other connection is not needed any more.
    if (from == source::fetch) {
        m_call->cancel();
        m_is_lost = true;
    }
    else if (m_fetch) {
        m_fetch->cancel();
        m_fetch.reset();
    }
    m_head = head;
    m_body.clear();
}

void owner_call::read_report(const http_response_head& head)
{
    const auto text = http_head::find(head.fields, attempt_report::header).value_or("");
    const auto report = relay_message_codec::decode_report(text);
    if (!report) {
        // Not an owner of this fleet: what it did with the request is not known.
        m_report = {};
        return;
    }
    m_report = *report;
    constexpr double percent = 100;
    owner_condition condition{report->failing_percent / percent, report->load_percent / percent,
                              takes_work(*report), std::nullopt};
    if (report->result != owner_result::not_run) {
        condition.tested_ago = 0ms;
    }
    m_context.on_health_reported(owner(), condition);
    m_context.owner_tokens[owner()] = report->token;
    m_context.on_plan_reported(report->plan_version, owner());
}

void owner_call::on_body(std::string_view bytes)
{
    if (m_passes_on) {
        m_hooks.passed(bytes);
        return;
    }
    m_body.append(bytes);
    if (m_body.size() > max_kept_bytes && m_report.result == owner_result::answered) {
        m_hooks.grown();
    }
}

void owner_call::pass_on()
{
    m_passes_on = true;
    const auto received = std::move(m_body);
    m_body.clear();
    m_hooks.passed(received);
}

void owner_call::on_complete()
{
    end();
    m_hooks.complete();
}

void owner_call::on_failed(source from, exchange_error fault)
{
    if (from == source::first) {
        on_first_failed(fault);
    }
    else {
        on_fetch_failed(fault);
    }
}

void owner_call::on_first_failed(exchange_error fault)
{
    const bool is_sent = was_sent(fault);
    if (is_sent) {
        note("peer_exchange_failed", {{"fault", std::string(exchange_error_name(fault))},
                                      {"received_bytes", std::to_string(m_body.size())}});
        m_context.peers.close_idle(owner());
    }
    else {
        m_context.ranking.note_unreachable(owner(), m_context.now());
    }
    if (!is_sent || !m_runs_once || m_passes_on) {
        end();
        m_hooks.failed(is_sent);
        return;
    }
    m_is_lost = true;
    if (!m_fetch) {
        fetch();
    }
}

void owner_call::on_fetch_failed(exchange_error fault)
{
    note("answer_not_fetched", {{"fault", std::string(exchange_error_name(fault))}});
    m_fetch.reset();
    const bool owner_has_ended = fault == exchange_error::refused;
    if (m_passes_on || (owner_has_ended && m_is_lost)) {
        // The rest of a response, or the memory of an owner that has ended, is gone.
        end();
        m_hooks.failed(true);
        return;
    }
    arm(fetch_interval, &owner_call::fetch);
}

// The first connection stays open while it is only silent: its answer is as good as a fetched one.
void owner_call::fetch()
{
    ++m_fetches;
    note("answer_fetched", {{"fetch", std::to_string(m_fetches)},
                            {"first_connection", m_is_lost ? "lost" : "silent"}});
    if (m_fetch) {
        m_fetch->cancel();
    }
    m_fetch = m_context.peers.send(owner(), fetch_request(), hooks_for(source::fetch));
    arm(acknowledgement_time, &owner_call::on_silent);
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
        (m_fetch ? m_fetch : m_call)->pause(paused);
    }
}

void owner_call::note(const char* decision, log_fields fields) const
{
    fields.emplace_back("owner", owner());
    m_context.log.note(decision, m_request_id, std::move(fields));
}

// Breaks the connections that are still open.
void owner_call::end()
{
    m_has_ended = true;
    m_context.loop.cancel(m_timer);
    if (m_call) {
        m_call->cancel();
    }
    if (m_fetch) {
        m_fetch->cancel();
    }
}

} // namespace galenaroad
