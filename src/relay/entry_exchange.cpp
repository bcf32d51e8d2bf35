#include "relay/entry_exchange.h"

#include "net/http_status.h"
#include "relay/entry_reply.h"
#include "telemetry/duration_text.h"

#include <Poco/Net/HTTPResponse.h>

namespace galenaroad {

namespace {

using namespace std::chrono_literals;
using Poco::Net::HTTPResponse;

// The owner answers before this daemon has to; the way there and back takes some of the time.
constexpr auto owner_margin = 30ms;
constexpr auto far_owner_margin = 70ms;
constexpr auto answer_margin = 10ms;
// Part of the remaining time that one attempt may take while another one can follow.
constexpr double attempt_part = 0.5;

} // namespace

entry_exchange::entry_exchange(relay_context& context, std::shared_ptr<server_exchange> client,
                               std::function<void(entry_exchange&)> on_end)
    : m_context(context),
      m_client(std::move(client)),
      m_on_end(std::move(on_end)),
      m_request_id(http_head::find(m_client->head().fields, context.names.request_id).value_or("")),
      m_route(context.plan),
      m_search(context.directory, context.ranking)
{
}

void entry_exchange::start()
{
    const auto error = m_route.find(m_context, *m_client);
    if (error) {
        answer(status_of(*error), route_error_name(*error));
        return;
    }
    const auto body_bytes = static_cast<double>(m_client->body().size());
    m_search.begin(m_route.service(), m_context.sizes.expected(rule()) + body_bytes);
    const std::weak_ptr<entry_exchange> weak = weak_from_this();
    m_client->on_gone([weak] {
        if (const auto self = weak.lock()) {
            self->on_client_gone();
        }
    });
    m_deadline_timer =
        m_context.loop.after(m_route.deadline() - m_context.now() - answer_margin, [weak] {
            if (const auto self = weak.lock()) {
                self->on_deadline();
            }
        });
    try_next();
}

void entry_exchange::try_next()
{
    m_context.loop.cancel(m_attempt_timer);
    if (remaining() <= owner_margin) {
        give_up();
        return;
    }
    const auto* const owner = m_search.next(may_repeat(), m_context.now());
    note_trial();
    if (owner == nullptr) {
        give_up();
        return;
    }
    send_to(*owner);
}

void entry_exchange::note_trial()
{
    if (m_search.probe() != probe_decision::none_due) {
        m_context.metrics.note_trial(m_route.service(),
                                     std::string(probe_decision_name(m_search.probe())));
    }
}

void entry_exchange::send_to(const owner_record& owner)
{
    owner_request request;
    request.owner = owner.address;
    request.metadata = order_for(owner);
    request.head = m_client->head();
    request.body = m_client->body_bytes();
    m_current = make_call(std::move(request));
    m_current->send();
    // While the request waits at its owner, another owner would not serve it sooner.
    if (!may_repeat() || m_search.stage() != search_stage::choosing) {
        return;
    }
    const auto limit =
        std::chrono::duration_cast<std::chrono::milliseconds>(remaining() * attempt_part);
    const std::weak_ptr<entry_exchange> weak = weak_from_this();
    m_attempt_timer = m_context.loop.after(limit, [weak] {
        if (const auto self = weak.lock()) {
            self->on_attempt_slow();
        }
    });
}

entry_exchange::call_ptr entry_exchange::make_call(owner_request request)
{
    // The hooks need the call that they belong to.
    const auto made = std::make_shared<std::weak_ptr<owner_call>>();
    const std::weak_ptr<entry_exchange> weak = weak_from_this();
    const auto guarded = [weak, made](auto action) {
        return [weak, made, action](const auto&... arguments) {
            const auto self = weak.lock();
            const auto call = made->lock();
            if (self && call && !self->m_ended) {
                (self.get()->*action)(call, arguments...);
            }
        };
    };
    owner_call_hooks hooks;
    hooks.unacknowledged = guarded(&entry_exchange::on_silent);
    hooks.buffer_exceeded = guarded(&entry_exchange::on_grown);
    hooks.body_part = guarded(&entry_exchange::on_passed);
    hooks.complete = guarded(&entry_exchange::on_complete);
    hooks.failed = guarded(&entry_exchange::on_failed);
    auto call = std::make_shared<owner_call>(m_context, std::move(request), std::move(hooks));
    *made = call;
    return call;
}

relay_order entry_exchange::order_for(const owner_record& owner) const
{
    relay_order order;
    order.attempt_id = m_context.new_attempt_id();
    order.service = m_route.service();
    order.route = rule().name;
    order.caller_service = m_context.own_service;
    order.entry_address = m_context.location.address;
    const bool is_far = owner.region != m_context.location.region;
    order.remaining = remaining() - (is_far ? far_owner_margin : owner_margin);
    order.kind = rule().kind;
    order.attempt = m_attempts + 1;
    order.may_repeat = m_attempts + 1 < rule().max_attempts;
    order.is_granted = m_has_grant;
    order.priority = rule().priority;
    order.plan_version = m_route.plan_version();
    order.goal_remaining =
        std::chrono::duration_cast<std::chrono::milliseconds>(m_route.goal() - m_context.now());
    order.may_wait = m_search.stage() == search_stage::waiting;
    return order;
}

void entry_exchange::on_silent(const call_ptr& made)
{
    if (made == m_current && may_repeat()) {
        m_context.loop.cancel(m_attempt_timer);
        on_attempt_slow();
    }
}

// The response is passed on while it arrives.
void entry_exchange::on_grown(const call_ptr& made)
{
    m_context.loop.cancel(m_attempt_timer);
    const auto other = made == m_current ? m_earlier : m_current;
    if (other) {
        other->cancel();
    }
    m_current = made;
    m_earlier.reset();
    m_stream = std::make_unique<response_stream>(m_client, made);
    m_stream->begin();
}

void entry_exchange::on_passed(const call_ptr&, std::string_view bytes)
{
    m_stream->pass(bytes);
}

void entry_exchange::on_complete(const call_ptr& made)
{
    if (m_stream) {
        m_stream->finish();
        note_answered(made->head().status, "streamed");
        return;
    }
    if (made == m_earlier) {
        on_earlier_complete(made);
        return;
    }
    m_context.loop.cancel(m_attempt_timer);
    const auto result = made->report().result;
    if (result == owner_result::not_run) {
        on_owner_refused();
        return;
    }
    ++m_attempts;
    m_has_grant = made->report().grants_attempt;
    if (result == owner_result::rejected) {
        if (m_execution == execution::not_run) {
            m_kept = {made->head(), made->body(), true};
        }
        on_attempt_failed();
        return;
    }
    m_execution = execution::perhaps;
    if (result != owner_result::answered) {
        on_attempt_failed();
        return;
    }
    m_kept = {made->head(), made->body(), true};
    if (is_server_error(made->head().status) && (another_may_follow() || m_earlier)) {
        on_attempt_failed();
        return;
    }
    deliver();
}

void entry_exchange::on_earlier_complete(const call_ptr& made)
{
    m_earlier.reset();
    const bool is_answered = made->report().result == owner_result::answered;
    if (is_answered && !is_server_error(made->head().status)) {
        m_kept = {made->head(), made->body(), true};
        deliver();
    }
    else if (m_is_waiting_for_earlier) {
        give_up();
    }
}

void entry_exchange::on_owner_refused()
{
    m_search.record_refusal(m_current->owner(), m_current->report(), m_context.now());
    if (m_current->report().reason == owner_reason::expired) {
        // It has waited as long as was useful; another owner would not serve it in time.
        give_up();
        return;
    }
    try_next();
}

void entry_exchange::on_failed(const call_ptr& made, bool was_sent)
{
    if (m_stream) {
        m_stream->abort();
        note_answered(0, "incomplete");
        return;
    }
    if (made == m_earlier) {
        m_earlier.reset();
        if (m_is_waiting_for_earlier) {
            give_up();
        }
        return;
    }
    m_context.loop.cancel(m_attempt_timer);
    if (!was_sent) {
        m_search.exclude(made->owner());
        try_next();
        return;
    }
    ++m_attempts;
    m_execution = execution::perhaps;
    on_attempt_failed();
}

// The request was sent to an upstream and there is no success.
void entry_exchange::on_attempt_failed()
{
    m_search.exclude(m_current->owner());
    m_context.log.note("attempt_failed", m_request_id,
                       {{"owner", m_current->owner()},
                        {"attempt", std::to_string(m_attempts)},
                        {"status", std::to_string(m_current->head().status)},
                        {"reason", std::string(reason_name(m_current->report().reason))}});
    if (another_may_follow()) {
        try_next();
        return;
    }
    give_up();
}

// The upstream may hang: another one is asked, and the first to answer is delivered. Breaking off
// the slow attempt could replace an answer by a failure.
void entry_exchange::on_attempt_slow()
{
    if (m_stream || m_earlier) {
        return;
    }
    m_context.log.note(
        "attempt_slow", m_request_id,
        {{"owner", m_current->owner()}, {"remaining_ms", std::to_string(remaining().count())}});
    m_earlier = m_current;
    m_has_grant = false;
    m_search.exclude(m_earlier->owner());
    ++m_attempts;
    m_execution = execution::perhaps;
    try_next();
}

// Returns true while an earlier attempt may still bring the answer.
bool entry_exchange::waits_for_earlier()
{
    m_is_waiting_for_earlier = m_earlier != nullptr && remaining() > 0ms;
    return m_is_waiting_for_earlier;
}

void entry_exchange::cancel_calls()
{
    if (m_current) {
        m_current->cancel();
    }
    if (m_earlier) {
        m_earlier->cancel();
    }
}

void entry_exchange::on_client_gone()
{
    m_client_is_gone = true;
    note_answered(0, "client_left");
}

void entry_exchange::on_deadline()
{
    if (m_ended) {
        return;
    }
    if (m_stream) {
        const std::weak_ptr<entry_exchange> weak = weak_from_this();
        m_deadline_timer = m_context.loop.after(m_stream->late_allowance(m_context.now()), [weak] {
            if (const auto self = weak.lock()) {
                self->break_off();
            }
        });
        return;
    }
    give_up_now();
}

void entry_exchange::finish_now()
{
    if (m_ended) {
        return;
    }
    if (m_stream) {
        m_stream->abort();
        note_answered(0, "stopped");
        return;
    }
    give_up_now();
}

// What is still under way may have run.
void entry_exchange::give_up_now()
{
    if (m_current && !m_current->has_ended()) {
        m_execution = execution::perhaps;
    }
    cancel_calls();
    m_earlier.reset();
    give_up();
}

// The client sees an incomplete response.
void entry_exchange::break_off()
{
    m_stream->abort();
    note_answered(0, "past_deadline");
}

// Counts the attempts that have ended.
bool entry_exchange::another_may_follow() const
{
    const bool is_proved_not_run = m_execution == execution::not_run;
    return (is_idempotent(rule().kind) || is_proved_not_run) && m_attempts < rule().max_attempts;
}

// Tells whether the attempt that is being made may be followed by another one.
bool entry_exchange::may_repeat() const
{
    return is_idempotent(rule().kind) && m_attempts + 1 < rule().max_attempts;
}

void entry_exchange::give_up()
{
    if (waits_for_earlier()) {
        return;
    }
    if (m_kept.is_valid) {
        deliver();
        return;
    }
    if (m_execution == execution::not_run) {
        answer(HTTPResponse::HTTP_SERVICE_UNAVAILABLE, "not_run");
        return;
    }
    const bool is_late = remaining() <= owner_margin;
    answer(is_late ? HTTPResponse::HTTP_GATEWAY_TIMEOUT : HTTPResponse::HTTP_BAD_GATEWAY,
           is_late ? "deadline" : "outcome_unknown");
}

void entry_exchange::deliver()
{
    const bool has_run = m_execution == execution::perhaps;
    if (has_run && !is_idempotent(rule().kind) && promises_not_run(m_kept.head.status)) {
        // The status would promise that the request has not run.
        m_kept.is_valid = false;
        answer(HTTPResponse::HTTP_BAD_GATEWAY, "misleading_status");
        return;
    }
    m_context.sizes.note(rule(), m_kept.body.size());
    m_client->respond(entry_reply::delivered(m_kept.head), m_kept.body);
    note_answered(m_kept.head.status, "delivered");
}

void entry_exchange::answer(int status, std::string_view reason)
{
    const bool is_not_run = status == HTTPResponse::HTTP_SERVICE_UNAVAILABLE;
    auto head = is_not_run
                    ? entry_reply::not_run(m_context.names, m_request_id, m_search.retry_after())
                    : entry_reply::own(m_context.names, m_request_id, status);
    m_client->respond(std::move(head), {});
    note_answered(status, reason);
}

void entry_exchange::note_answered(int status, std::string_view reason)
{
    const auto elapsed = m_context.now() - m_client->received_at();
    if (is_from_own_instance() && (status == 0 || status >= HTTPResponse::HTTP_BAD_REQUEST)) {
        m_context.local_failure_at = m_context.now();
    }
    m_context.metrics.note_answer(m_route.service(), status, elapsed);
    m_context.log.note(
        "entry", m_request_id,
        {{"status", std::to_string(status)},
         {"reason", std::string(reason)},
         {"route", m_route.rule() == nullptr ? "" : rule().name},
         {"service", m_route.service()},
         {"plan", std::to_string(m_route.plan_version())},
         {"owner", m_current ? m_current->owner() : ""},
         {"attempts", std::to_string(m_attempts)},
         {"refusals", std::to_string(m_search.refusals())},
         {"last_refusal",
          std::string(reason_name(m_current ? m_current->report().reason : owner_reason::none))},
         {"stage", std::to_string(static_cast<int>(m_search.stage()))},
         {"trial", std::string(probe_decision_name(m_search.probe()))},
         {"known_owners", std::to_string(m_context.directory.ready_for(m_route.service()).size())},
         {"elapsed_ms", ms_text(elapsed)}});
    end();
}

void entry_exchange::end()
{
    if (m_ended) {
        return;
    }
    const auto self = shared_from_this();
    m_ended = true;
    m_context.loop.cancel(m_deadline_timer);
    m_context.loop.cancel(m_attempt_timer);
    cancel_calls();
    m_on_end(*this);
}

bool entry_exchange::is_from_own_instance() const
{
    const auto& own = m_context.location.address;
    return m_client->client_host() == own.substr(0, own.find(':'));
}

std::chrono::milliseconds entry_exchange::remaining() const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(m_route.deadline() -
                                                                 m_context.now());
}

} // namespace galenaroad
