#include "relay/entry_exchange.h"

#include "net/http_status.h"
#include "relay/entry_response_builder.h"
#include "telemetry/duration_text.h"

#include <Poco/Net/HTTPResponse.h>

namespace galenaroad {

namespace {

using namespace std::chrono_literals;
using Poco::Net::HTTPResponse;

// The owner's deadline is earlier than this daemon's by a margin for the network round trip.
constexpr auto owner_margin = 30ms;
constexpr auto far_owner_margin = 70ms;
constexpr auto response_margin = 10ms;
// Share of the remaining time that one attempt may take while a retry is still possible.
constexpr double max_attempt_share = 0.5;
// Daemons that are restarted in turn are back within seconds.
constexpr auto interrupted_retry_interval = 300ms;

} // namespace

entry_exchange::entry_exchange(relay_context& context, std::shared_ptr<server_exchange> client,
                               std::function<void(entry_exchange&)> on_end)
    : m_context(context),
      m_client(std::move(client)),
      m_on_end(std::move(on_end)),
      m_request_id(http_head::find(m_client->head().fields, context.names.request_id).value_or("")),
      m_route(context.plans.in_force()),
      m_search(context.directory, context.ranking)
{
}

void entry_exchange::start()
{
    if (const auto error = m_route.find(m_context, *m_client)) {
        respond_with_error(*error);
        return;
    }
    const auto body_bytes = static_cast<double>(m_client->body().size());
    m_search.begin(m_route.service(), m_context.response_sizes.expected_bytes(rule()) + body_bytes);
    const std::weak_ptr<entry_exchange> weak = weak_from_this();
    m_client->on_disconnected([weak] {
        if (const auto self = weak.lock()) {
            self->on_client_disconnected();
        }
    });
    m_deadline_timer =
        m_context.loop.after(m_route.deadline() - m_context.now() - response_margin, [weak] {
            if (const auto self = weak.lock()) {
                self->on_deadline();
            }
        });
    request_token();
}

void entry_exchange::request_token()
{
    const auto& account = m_route.account();
    if (!account || !account->quota.is_limited()) {
        try_next_owner();
        return;
    }
    m_quota.request(m_context, account->name, weak_from_this(), [this](const auto& error) {
        if (m_ended) {
            m_quota.give_back(m_context);
        }
        else if (error) {
            respond_with_error(*error);
        }
        else {
            try_next_owner();
        }
    });
}

void entry_exchange::try_next_owner()
{
    m_context.loop.cancel(m_attempt_timer);
    if (remaining() <= owner_margin) {
        give_up();
        return;
    }
    // An owner that exits about when this daemon does would refuse the request.
    if (!m_context.stopping.ends_before_exit(m_route.deadline())) {
        m_search.avoid_stopping_owners();
    }
    const auto* const owner = m_search.next(may_retry(), m_context.now());
    record_probe();
    if (owner == nullptr) {
        give_up();
        return;
    }
    send_to(*owner);
}

void entry_exchange::record_probe()
{
    if (m_search.probe() != probe_decision::none_due) {
        m_context.metrics.record_probe(m_route.service(),
                                       std::string(probe_decision_name(m_search.probe())));
    }
}

void entry_exchange::send_to(const owner_record& owner)
{
    owner_request request;
    request.owner = owner.address;
    request.metadata = metadata_for(owner);
    request.head = m_route.head_for_owners(m_context.names, m_client->head());
    request.body = m_client->body_bytes();
    m_current_attempt = make_call(std::move(request));
    m_current_attempt->send();
    // No limit while the request waits in its owner's queue: another owner would not serve it
    // sooner.
    if (!may_retry() || m_search.stage() != search_stage::choosing) {
        return;
    }
    const auto limit =
        std::chrono::duration_cast<std::chrono::milliseconds>(remaining() * max_attempt_share);
    const std::weak_ptr<entry_exchange> weak = weak_from_this();
    m_attempt_timer = m_context.loop.after(limit, [weak] {
        if (const auto self = weak.lock()) {
            self->on_attempt_slow();
        }
    });
}

entry_exchange::call_ptr entry_exchange::make_call(owner_request request)
{
    // The hooks pass their call to the handlers, but are created before it.
    const auto weak_call = std::make_shared<std::weak_ptr<owner_call>>();
    const std::weak_ptr<entry_exchange> weak = weak_from_this();
    const auto guarded = [weak, weak_call](auto action) {
        return [weak, weak_call, action](const auto&... arguments) {
            const auto self = weak.lock();
            const auto call = weak_call->lock();
            if (self && call && !self->m_ended) {
                (self.get()->*action)(call, arguments...);
            }
        };
    };
    owner_call_hooks hooks;
    hooks.unacknowledged = guarded(&entry_exchange::on_unacknowledged);
    hooks.buffer_exceeded = guarded(&entry_exchange::on_buffer_exceeded);
    hooks.body_part = guarded(&entry_exchange::on_body_part);
    hooks.complete = guarded(&entry_exchange::on_complete);
    hooks.failed = guarded(&entry_exchange::on_failed);
    auto call = std::make_shared<owner_call>(m_context, std::move(request), std::move(hooks));
    *weak_call = call;
    return call;
}

attempt_metadata entry_exchange::metadata_for(const owner_record& owner) const
{
    auto metadata = m_route.metadata(m_context.now());
    metadata.attempt_id = m_context.new_attempt_id();
    metadata.caller_service = m_context.own_service;
    metadata.entry_address = m_context.location.address;
    const bool is_far = owner.region != m_context.location.region;
    metadata.remaining = remaining() - (is_far ? far_owner_margin : owner_margin);
    metadata.attempt = m_attempts + 1;
    metadata.may_retry = m_attempts + 1 < rule().max_attempts;
    metadata.may_be_interrupted = may_be_interrupted(owner.address);
    metadata.retry_is_granted = m_retry_is_granted;
    metadata.may_wait = m_search.stage() == search_stage::waiting;
    return metadata;
}

void entry_exchange::on_unacknowledged(const call_ptr& call)
{
    if (call == m_current_attempt && may_retry()) {
        m_context.loop.cancel(m_attempt_timer);
        on_attempt_slow();
    }
}

// From here on the response is streamed to the client while it arrives.
void entry_exchange::on_buffer_exceeded(const call_ptr& call)
{
    m_context.loop.cancel(m_attempt_timer);
    const auto other = call == m_current_attempt ? m_slow_attempt : m_current_attempt;
    if (other) {
        other->cancel();
    }
    m_current_attempt = call;
    m_slow_attempt.reset();
    m_execution = execution::may_have_run;
    m_stream = std::make_unique<response_stream>(m_client, call);
    m_stream->begin();
}

void entry_exchange::on_body_part(const call_ptr&, std::string_view bytes)
{
    m_stream->forward(bytes);
}

void entry_exchange::on_complete(const call_ptr& call)
{
    if (m_stream) {
        m_stream->finish();
        record_and_end(call->head().status, "streamed");
        return;
    }
    if (call == m_slow_attempt) {
        on_slow_attempt_complete(call);
        return;
    }
    m_context.loop.cancel(m_attempt_timer);
    const auto result = call->report().result;
    if (result == owner_result::not_run) {
        on_owner_refused();
        return;
    }
    ++m_attempts;
    m_retry_is_granted = call->report().grants_retry;
    if (result == owner_result::rejected) {
        // Without a reason the response is the upstream's own.
        if (m_execution == execution::not_run && call->report().reason == owner_reason::none) {
            m_candidate = {call->head(), call->take_body(), true};
        }
        on_attempt_failed();
        return;
    }
    m_execution = execution::may_have_run;
    if (result != owner_result::answered) {
        on_attempt_failed();
        return;
    }
    m_candidate = {call->head(), call->take_body(), true};
    if (is_server_error(call->head().status) && (has_retry_left() || m_slow_attempt)) {
        on_attempt_failed();
        return;
    }
    deliver();
}

void entry_exchange::on_slow_attempt_complete(const call_ptr& call)
{
    m_slow_attempt.reset();
    const bool is_answered = call->report().result == owner_result::answered;
    if (is_answered && !is_server_error(call->head().status)) {
        m_candidate = {call->head(), call->take_body(), true};
        deliver();
        return;
    }
    m_retry_is_granted = call->report().grants_retry;
    m_is_interrupted = call->report().reason == owner_reason::stopping;
    if (m_is_waiting_for_slow_attempt) {
        retry_slow_attempt();
    }
}

void entry_exchange::on_owner_refused()
{
    m_search.record_refusal(m_current_attempt->owner(), m_current_attempt->report(),
                            m_context.now());
    if (m_current_attempt->report().reason == owner_reason::expired) {
        // The request has waited as long as was useful; another owner would not serve it in time.
        give_up();
        return;
    }
    try_next_owner();
}

void entry_exchange::on_failed(const call_ptr& call, bool was_sent)
{
    if (m_stream) {
        m_stream->abort();
        record_and_end(0, "incomplete");
        return;
    }
    if (call == m_slow_attempt) {
        m_slow_attempt.reset();
        if (m_is_waiting_for_slow_attempt) {
            m_retry_is_granted = false;
            retry_slow_attempt();
        }
        return;
    }
    m_context.loop.cancel(m_attempt_timer);
    if (!was_sent) {
        m_search.exclude(call->owner());
        try_next_owner();
        return;
    }
    ++m_attempts;
    m_execution = execution::may_have_run;
    on_attempt_failed();
}

// Handles an attempt that was sent to an upstream and did not succeed.
void entry_exchange::on_attempt_failed()
{
    m_search.exclude(m_current_attempt->owner());
    m_is_interrupted = m_current_attempt->report().reason == owner_reason::stopping;
    m_context.log.note("attempt_failed", m_request_id,
                       {{"owner", m_current_attempt->owner()},
                        {"attempt", std::to_string(m_attempts)},
                        {"status", std::to_string(m_current_attempt->head().status)},
                        {"reason", std::string(reason_name(m_current_attempt->report().reason))}});
    if (has_retry_left()) {
        if (m_is_interrupted) {
            m_search.restart();
        }
        try_next_owner();
        return;
    }
    give_up();
}

// Handles a slow attempt that has failed after no owner was found for a parallel one.
void entry_exchange::retry_slow_attempt()
{
    m_is_waiting_for_slow_attempt = false;
    if (!has_retry_left()) {
        give_up();
        return;
    }
    m_search.restart();
    try_next_owner();
}

// The owner has reserved a retry for the request, and during a rolling restart all other owners may
// refuse it for a moment.
void entry_exchange::retry_interrupted()
{
    const std::weak_ptr<entry_exchange> weak = weak_from_this();
    m_attempt_timer = m_context.loop.after(interrupted_retry_interval, [weak] {
        const auto self = weak.lock();
        if (self && !self->m_ended) {
            self->m_search.restart();
            self->try_next_owner();
        }
    });
}

// The upstream may hang: the request is also sent to another one, and the first success is
// delivered. The slow attempt continues, since aborting it could lose a late success.
void entry_exchange::on_attempt_slow()
{
    if (m_stream || m_slow_attempt) {
        return;
    }
    m_context.log.note("attempt_slow", m_request_id,
                       {{"owner", m_current_attempt->owner()},
                        {"remaining_ms", std::to_string(remaining().count())}});
    m_slow_attempt = m_current_attempt;
    m_retry_is_granted = false;
    m_search.exclude(m_slow_attempt->owner());
    ++m_attempts;
    m_execution = execution::may_have_run;
    try_next_owner();
}

// Returns true while the slow attempt may still return a response.
bool entry_exchange::waits_for_slow_attempt()
{
    m_is_waiting_for_slow_attempt = m_slow_attempt != nullptr && remaining() > 0ms;
    return m_is_waiting_for_slow_attempt;
}

void entry_exchange::cancel_calls()
{
    if (m_current_attempt) {
        m_current_attempt->cancel();
    }
    if (m_slow_attempt) {
        m_slow_attempt->cancel();
    }
}

void entry_exchange::on_client_disconnected()
{
    m_client_is_disconnected = true;
    record_and_end(0, "client_left");
}

void entry_exchange::on_deadline()
{
    if (m_ended) {
        return;
    }
    if (m_stream) {
        const std::weak_ptr<entry_exchange> weak = weak_from_this();
        m_deadline_timer = m_context.loop.after(m_stream->grace_period(m_context.now()), [weak] {
            if (const auto self = weak.lock()) {
                self->abort_response();
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
        record_and_end(0, "stopped");
        return;
    }
    give_up_now();
}

// An attempt that is still in progress may have run.
void entry_exchange::give_up_now()
{
    if (m_current_attempt && !m_current_attempt->has_ended()) {
        m_execution = execution::may_have_run;
    }
    cancel_calls();
    m_slow_attempt.reset();
    m_is_interrupted = false;
    give_up();
}

// The client sees that the response is incomplete.
void entry_exchange::abort_response()
{
    m_stream->abort();
    record_and_end(0, "past_deadline");
}

// For use after an attempt has ended: whether the request may be sent to another upstream.
bool entry_exchange::has_retry_left() const
{
    const bool is_proved_not_run = m_execution == execution::not_run;
    return (is_idempotent(rule().kind) || is_proved_not_run) && m_attempts < rule().max_attempts;
}

// For use while an attempt is in progress: whether another one may follow it.
bool entry_exchange::may_retry() const
{
    return is_idempotent(rule().kind) && m_attempts + 1 < rule().max_attempts;
}

// A daemon that is stopping itself may have no time left for another attempt.
bool entry_exchange::may_be_interrupted(const std::string& owner) const
{
    return may_retry() && !m_context.stopping.has_begun() &&
           m_search.has_alternative_to(owner, m_context.now());
}

void entry_exchange::give_up()
{
    if (waits_for_slow_attempt()) {
        return;
    }
    if (m_candidate.is_valid) {
        deliver();
        return;
    }
    if (m_is_interrupted && has_retry_left() && remaining() > interrupted_retry_interval) {
        retry_interrupted();
        return;
    }
    if (m_execution == execution::not_run) {
        respond_with_error({HTTPResponse::HTTP_SERVICE_UNAVAILABLE, "not_run", {}});
        return;
    }
    const bool is_late = remaining() <= owner_margin;
    respond_with_error(is_late
                           ? entry_error{HTTPResponse::HTTP_GATEWAY_TIMEOUT, "deadline", {}}
                           : entry_error{HTTPResponse::HTTP_BAD_GATEWAY, "outcome_unknown", {}});
}

void entry_exchange::deliver()
{
    const bool has_run = m_execution == execution::may_have_run;
    if (has_run && !is_idempotent(rule().kind) && implies_not_run(m_candidate.head.status)) {
        // Clients would take the status as proof that the request has not run.
        m_candidate.is_valid = false;
        respond_with_error({HTTPResponse::HTTP_BAD_GATEWAY, "misleading_status", {}});
        return;
    }
    const auto& body = m_candidate.body.text();
    m_context.response_sizes.record(rule(), body.size());
    m_client->respond(entry_response_builder::forwarded(m_candidate.head), body);
    record_and_end(m_candidate.head.status, "delivered");
}

void entry_exchange::respond_with_error(entry_error error)
{
    if (error.status == HTTPResponse::HTTP_SERVICE_UNAVAILABLE && !error.retry_after) {
        error.retry_after = retry_after();
    }
    m_client->respond(entry_response_builder::error(m_context.names, m_request_id, error), {});
    record_and_end(error.status, error.reason);
}

// A request that is refused because of a stop would be refused again before the exit.
std::chrono::milliseconds entry_exchange::retry_after() const
{
    const auto now = m_context.now();
    const bool is_too_late = !m_context.stopping.accepts_request(m_route.deadline(), now);
    return is_too_late ? m_context.stopping.time_until_exit(now) : m_search.retry_after();
}

void entry_exchange::record_and_end(int status, std::string_view reason)
{
    const auto elapsed = m_context.now() - m_client->received_at();
    const bool may_be_from_upstream =
        m_client->client_host() == m_context.own_host() && m_route.may_be_from_upstream();
    if (may_be_from_upstream && (status == 0 || status >= HTTPResponse::HTTP_BAD_REQUEST)) {
        m_context.local_failure_at = m_context.now();
    }
    m_context.metrics.record_response(m_route.service(), status, elapsed);
    auto fields = m_route.fields();
    const auto quota_fields = m_quota.fields();
    fields.insert(fields.end(), quota_fields.begin(), quota_fields.end());
    fields.insert(
        fields.end(),
        {{"status", std::to_string(status)},
         {"reason", std::string(reason)},
         {"owner", m_current_attempt ? m_current_attempt->owner() : ""},
         {"attempts", std::to_string(m_attempts)},
         {"refusals", std::to_string(m_search.refusals())},
         {"last_refusal",
          std::string(reason_name(m_current_attempt ? m_current_attempt->report().reason
                                                    : owner_reason::none))},
         {"stage", std::to_string(static_cast<int>(m_search.stage()))},
         {"trial", std::string(probe_decision_name(m_search.probe()))},
         {"known_owners", std::to_string(m_context.directory.ready_for(m_route.service()).size())},
         {"elapsed_ms", ms_text(elapsed)}});
    if (m_current_attempt || status >= HTTPResponse::HTTP_INTERNAL_SERVER_ERROR) {
        m_context.log.note("entry", m_request_id, std::move(fields));
    }
    else {
        m_context.log.note_refusal("entry", m_request_id, std::move(fields));
    }
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
    if (has_not_run()) {
        m_quota.give_back(m_context);
    }
    cancel_calls();
    m_on_end(*this);
}

bool entry_exchange::has_not_run() const
{
    const bool may_run = m_current_attempt && !m_current_attempt->has_ended();
    return m_execution == execution::not_run && !may_run;
}

std::chrono::milliseconds entry_exchange::remaining() const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(m_route.deadline() -
                                                                 m_context.now());
}

} // namespace galenaroad
