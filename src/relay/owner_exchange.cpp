#include "relay/owner_exchange.h"

#include "net/http_status.h"
#include "relay/body_grace_period.h"
#include "relay/owner_call.h"
#include "relay/owner_response_builder.h"
#include "relay/upstream_request_builder.h"
#include "telemetry/duration_text.h"

#include <Poco/Net/HTTPResponse.h>
#include <algorithm>
#include <utility>

namespace galenaroad {

namespace {

using namespace std::chrono_literals;
using Poco::Net::HTTPResponse;

// With less time remaining, the upstream could not even start.
constexpr auto min_remaining = 20ms;
// The upstream stops working at its deadline; its response then needs some time to arrive.
constexpr auto response_grace = 400ms;
// Time for which idle connections are reused. An at-most-once request cannot be resent if the
// upstream closes the reused connection, so it uses only recently active ones.
constexpr auto max_idle_idempotent = 4s;
constexpr auto max_idle_at_most_once = 1500ms;
// When a call made by the upstream fails, the request that made it fails within this time.
constexpr auto call_failure_window = 50ms;
// Maximum time from the head of a rejection to its end. Until then the request is not sent to
// another owner.
constexpr auto max_rejection_time = 250ms;
// Reading from the upstream pauses while more bytes of the response than this are unsent.
constexpr std::size_t max_unsent_bytes = std::size_t{256} * 1024;

int ready_owner_count(const relay_context& context, const std::string& service)
{
    return static_cast<int>(context.directory.ready_for(service).size());
}

} // namespace

owner_exchange::owner_exchange(relay_context& context, std::shared_ptr<server_exchange> client,
                               attempt_metadata metadata,
                               std::function<void(owner_exchange&)> on_end)
    : m_context(context),
      m_client(std::move(client)),
      m_metadata(std::move(metadata)),
      m_on_end(std::move(on_end)),
      m_request_id(http_head::find(m_client->head().fields, context.names.request_id).value_or("")),
      m_upstream_id(context.owned.lifecycle().latest().id),
      m_deadline(context.now() + m_metadata.remaining)
{
}

void owner_exchange::start()
{
    const std::weak_ptr<owner_exchange> weak = weak_from_this();
    m_client->on_disconnected([weak] {
        if (const auto self = weak.lock()) {
            self->on_client_disconnected();
        }
    });
    if (!register_start()) {
        return;
    }
    const auto decision =
        m_context.owned.admit(m_metadata, ready_owner_count(m_context, m_metadata.service));
    m_ticket = decision.ticket;
    if (decision.verdict == slot_verdict::refuse) {
        respond_not_run(decision.reason, decision.retry_after);
        return;
    }
    acknowledge();
    if (!m_client->has_body()) {
        // Receives the body while the request waits for a slot.
        m_client->receive_body([weak] {
            if (const auto self = weak.lock()) {
                self->on_body_received();
            }
        });
    }
    if (m_phase == phase::ended) {
        return;
    }
    if (decision.verdict == slot_verdict::run) {
        run();
        return;
    }
    m_phase = phase::waiting;
    // After a longer wait, the remaining time would be too short for an average request.
    arm(m_context.owned.wait_limit(m_metadata) -
            m_context.owned.expected_service_time(m_metadata.route) / 2,
        &owner_exchange::on_wait_timeout);
}

// The stored response of an at-most-once request may have been queried before the request arrived;
// the request must not start then.
bool owner_exchange::register_start()
{
    if (is_idempotent(m_metadata.kind)) {
        return true;
    }
    switch (m_context.responses.start(m_metadata.attempt_id, m_deadline)) {
    case start_decision::started:
        m_stores_response = true;
        return true;
    case start_decision::fenced:
        respond_not_run(owner_reason::never_received, 0ms);
        return false;
    case start_decision::expired:
        respond_not_run(owner_reason::expired, 0ms);
        return false;
    case start_decision::table_full:
        respond_not_run(owner_reason::busy, m_context.owned.mean_service_time());
        return false;
    case start_decision::duplicate:
        break;
    }
    respond_failed(owner_reason::forgotten);
    return false;
}

// Tells the entry daemon that the connection works; without an acknowledgement, the entry daemon
// queries the response on another connection.
void owner_exchange::acknowledge()
{
    m_client->acknowledge();
    if (!m_stores_response) {
        return;
    }
    const std::weak_ptr<owner_exchange> weak = weak_from_this();
    m_acknowledgement_timer = m_context.loop.after(owner_call::acknowledgement_interval, [weak] {
        const auto self = weak.lock();
        if (self && self->m_phase != phase::ended) {
            self->acknowledge();
        }
    });
}

void owner_exchange::run()
{
    m_has_slot = true;
    if (m_client->has_body()) {
        start_run();
        return;
    }
    m_phase = phase::receiving;
    arm(m_deadline - m_context.now() - min_remaining, &owner_exchange::on_body_timeout);
}

void owner_exchange::on_body_received()
{
    if (m_phase == phase::receiving) {
        start_run();
    }
}

void owner_exchange::on_body_timeout()
{
    release_slot(run_outcome::inconclusive);
    respond_not_run(owner_reason::expired, 0ms);
}

void owner_exchange::start_run()
{
    m_phase = phase::running;
    m_sent_at = m_context.now();
    const bool may_resend = is_idempotent(m_metadata.kind);
    const auto reason =
        try_send(sending::first, may_resend ? max_idle_idempotent : max_idle_at_most_once);
    if (reason != owner_reason::none) {
        release_slot(run_outcome::inconclusive);
        respond_not_run(reason, 0ms);
        return;
    }
    const auto overdue =
        m_context.owned.overdue_time(m_metadata.route, m_metadata.objective_remaining);
    arm(std::min<std::chrono::nanoseconds>(overdue, m_deadline - m_sent_at + response_grace),
        &owner_exchange::on_overdue);
}

// Sends the request to the upstream. All requests reach the upstream through this function, so that
// no path can omit the checks and the charge. Returns the reason why the request was not sent, or
// `none`.
owner_reason owner_exchange::try_send(sending kind, std::chrono::milliseconds max_idle)
{
    const auto reason = check_sending();
    if (reason != owner_reason::none) {
        return reason;
    }
    if (!reserve_retry()) {
        return owner_reason::stopping;
    }
    // The first sending has been charged on admission, if it belongs to a retry.
    if (kind == sending::repeated && !m_context.owned.grant_retry()) {
        return owner_reason::no_allowance;
    }
    send(max_idle);
    return owner_reason::none;
}

owner_reason owner_exchange::check_sending() const
{
    const auto reason = m_context.owned.recheck(m_metadata);
    if (reason != owner_reason::none) {
        return reason;
    }
    const bool may_be_interrupted =
        is_idempotent(m_metadata.kind) && m_metadata.may_retry && m_metadata.may_be_interrupted;
    if (!m_context.stopping.may_start_owned(m_deadline, may_be_interrupted, m_context.now())) {
        return owner_reason::stopping;
    }
    const bool is_late = m_deadline - m_context.now() < min_remaining;
    return is_late ? owner_reason::expired : owner_reason::none;
}

// The owners that get the retries of interrupted requests have no retry budget for all of them.
// Returns false if the exit may interrupt the request and its retry cannot be granted.
bool owner_exchange::reserve_retry()
{
    if (m_has_reserved_retry || m_context.stopping.ends_before_exit(m_deadline)) {
        return true;
    }
    m_has_reserved_retry = m_context.owned.grant_retry();
    return m_has_reserved_retry;
}

void owner_exchange::send(std::chrono::milliseconds max_idle)
{
    m_upstream_id = m_context.owned.lifecycle().latest().id;
    const auto remaining =
        std::chrono::duration_cast<std::chrono::milliseconds>(m_deadline - m_context.now());
    auto request = upstream_request_builder::build(m_context.names, *m_client, m_metadata,
                                                   m_upstream_id, remaining);
    request.max_idle = max_idle;
    request.match_response = [id = m_request_id,
                              name = m_context.names.request_id](const auto& head) {
        return upstream_response::origin_of(head, name, id);
    };
    const std::weak_ptr<owner_exchange> weak = weak_from_this();
    const auto guarded = [weak](auto action) {
        return [weak, action](const auto&... arguments) {
            if (const auto self = weak.lock()) {
                (self.get()->*action)(arguments...);
            }
        };
    };
    client_hooks hooks;
    hooks.head = guarded(&owner_exchange::on_head);
    hooks.body = guarded(&owner_exchange::on_body);
    hooks.complete = guarded(&owner_exchange::on_complete);
    hooks.failed = guarded(&owner_exchange::on_failed);
    const auto& address = m_context.owned.lifecycle().latest().address;
    m_call = m_context.upstreams.send(address, std::move(request), std::move(hooks));
}

void owner_exchange::on_head(const http_response_head& head)
{
    m_response = upstream_response(head, m_context.names, m_context.now());
    clear_overdue(false);
    if (!m_response.is_genuine() || (m_client_is_disconnected && !m_stores_response)) {
        return;
    }
    auto forwarded = forwarded_head(head);
    if (is_rejected()) {
        m_rejection_head = std::move(forwarded);
        m_rejection_body =
            buffered_body(m_context.response_buffers, owner_call::max_rejection_bytes);
        arm(max_rejection_time, &owner_exchange::abort_rejection);
        return;
    }
    if (m_stores_response) {
        m_stored_response.head = forwarded;
    }
    m_client->begin(std::move(forwarded));
}

http_response_head owner_exchange::forwarded_head(const http_response_head& head)
{
    http_response_head forwarded;
    forwarded.status = head.status;
    forwarded.reason = head.reason;
    forwarded.fields = head.fields;
    forwarded.framing = head.framing;
    http_head::remove_connection_fields(forwarded.fields);
    const auto result = m_response.is_rejection() ? owner_result::rejected : owner_result::answered;
    http_head::set(forwarded.fields, attempt_report::header,
                   relay_message_codec::encode(build_report(result, owner_reason::none)));
    return forwarded;
}

void owner_exchange::on_body(std::string_view bytes)
{
    m_response.record_body(bytes.size());
    if (!m_response.is_genuine()) {
        return;
    }
    if (is_rejected()) {
        if (!m_rejection_body.append(bytes)) {
            abort_rejection();
        }
        return;
    }
    if (m_stores_response && m_stored_response.body.size() <= response_store::max_body_bytes) {
        m_stored_response.body.append(bytes);
    }
    if (m_client_is_disconnected) {
        return;
    }
    m_client->write(bytes);
    if (m_client->unsent() <= max_unsent_bytes) {
        return;
    }
    m_call->pause(true);
    const std::weak_ptr<owner_exchange> weak = weak_from_this();
    m_client->on_drained([weak] {
        const auto self = weak.lock();
        if (self && self->m_phase == phase::running) {
            self->m_call->pause(false);
        }
    });
}

void owner_exchange::on_complete()
{
    if (is_rejected()) {
        respond_rejected(std::move(m_rejection_head), m_rejection_body.take());
        return;
    }
    release_slot(outcome_of_response());
    if (!m_response.is_genuine()) {
        respond_failed(owner_reason::invalid_response);
        return;
    }
    if (m_stored_response.body.size() > response_store::max_body_bytes) {
        m_stored_response = {owner_response_builder::failed(
                                 build_report(owner_result::failed, owner_reason::forgotten)),
                             {}};
    }
    m_client->finish();
    end("answered");
}

// Returns true once the upstream has stated that it has not run the request.
bool owner_exchange::is_rejected() const
{
    return m_response.is_genuine() && m_response.is_rejection();
}

// The rest of the response is of no use, and a faulty upstream may send it without end.
void owner_exchange::abort_rejection()
{
    m_call->cancel();
    m_exchange_error = "rejection_incomplete";
    respond_rejected(owner_response_builder::rejected(
                         build_report(owner_result::rejected, owner_reason::invalid_response)),
                     {});
}

void owner_exchange::on_failed(exchange_error error)
{
    if (is_rejected()) {
        abort_rejection();
        return;
    }
    m_exchange_error = exchange_error_name(error);
    const bool was_ever_sent = m_was_resent || was_sent(error);
    if (!was_ever_sent) {
        m_context.owned.record_unreachable();
        release_slot(run_outcome::inconclusive);
        respond_not_run(owner_reason::unreachable, 0ms);
        return;
    }
    const bool idle_connection_was_closed =
        error == exchange_error::no_response && m_call->is_reused();
    if (idle_connection_was_closed && try_resend()) {
        return;
    }
    release_slot(idle_connection_was_closed ? run_outcome::inconclusive : run_outcome::failure);
    const bool is_invalid =
        error == exchange_error::malformed || error == exchange_error::oversized;
    respond_failed(is_invalid ? owner_reason::invalid_response : owner_reason::connection_lost);
}

// Sends the request again on a new connection. The upstream may have closed the idle connection
// without reading the request, but it may also have run it.
bool owner_exchange::try_resend()
{
    if (!is_idempotent(m_metadata.kind) || m_was_resent || m_client_is_disconnected) {
        return false;
    }
    m_context.upstreams.close_idle(m_context.owned.lifecycle().latest().address);
    const auto reason = try_send(sending::repeated, 0ms);
    m_was_resent = reason == owner_reason::none;
    m_context.log.note(
        "upstream_resend", m_request_id,
        {{"upstream", m_upstream_id}, {"refused", std::string(reason_name(reason))}});
    return m_was_resent;
}

void owner_exchange::on_client_disconnected()
{
    m_client_is_disconnected = true;
    if (m_phase == phase::waiting) {
        m_context.owned.withdraw(m_ticket);
        respond_not_run(owner_reason::cancelled, 0ms);
        return;
    }
    if (m_phase == phase::receiving) {
        release_slot(run_outcome::inconclusive);
        respond_not_run(owner_reason::cancelled, 0ms);
        return;
    }
    // An at-most-once request that has started is not aborted, because it would be left half done.
    if (m_phase == phase::running && is_idempotent(m_metadata.kind)) {
        m_call->cancel();
        release_slot(run_outcome::inconclusive);
        end("cancelled");
    }
}

void owner_exchange::interrupt()
{
    if (m_phase == phase::ended) {
        return;
    }
    if (m_phase == phase::waiting) {
        m_context.owned.withdraw(m_ticket);
    }
    if (m_phase != phase::running) {
        release_slot(run_outcome::inconclusive);
        respond_not_run(owner_reason::stopping, 0ms);
        return;
    }
    m_exchange_error = "interrupted";
    m_call->cancel();
    release_slot(run_outcome::inconclusive);
    respond_failed(owner_reason::stopping);
}

void owner_exchange::refuse_as_unservable()
{
    respond_not_run(owner_reason::expired, m_context.owned.retry_after());
}

void owner_exchange::on_wait_timeout()
{
    m_context.owned.withdraw(m_ticket);
    respond_not_run(owner_reason::expired, m_context.owned.retry_after());
}

void owner_exchange::on_overdue()
{
    if (!m_response.has_begun()) {
        m_is_overdue = true;
        m_context.owned.record_overdue();
    }
    const auto time_left = m_deadline + response_grace - m_context.now();
    arm(std::max<std::chrono::nanoseconds>(time_left, 0ms), &owner_exchange::on_deadline);
}

void owner_exchange::on_deadline()
{
    if (!extend_past_deadline()) {
        abort_run();
    }
}

// A response that will soon be complete is delivered even after the deadline.
bool owner_exchange::extend_past_deadline()
{
    if (!m_response.has_begun() || m_client_is_disconnected) {
        return false;
    }
    const auto grace_period = body_grace_period::for_progress(m_response.progress(m_context.now()));
    if (grace_period == 0ms) {
        return false;
    }
    arm(grace_period, &owner_exchange::abort_run);
    return true;
}

void owner_exchange::abort_run()
{
    m_exchange_error = "past_deadline";
    m_call->cancel();
    // If the reader does not keep up with the response, the delay is not the upstream's fault.
    const bool is_blocked_by_reader = m_client->unsent() > 0;
    release_slot(is_blocked_by_reader ? run_outcome::inconclusive : run_outcome::failure);
    respond_failed(owner_reason::connection_lost);
}

void owner_exchange::respond_not_run(owner_reason reason, std::chrono::milliseconds retry_after)
{
    m_context.metrics.record_refusal(m_context.own_service, std::string(reason_name(reason)));
    m_stored_response = {owner_response_builder::not_run(m_context, reason, retry_after), {}};
    m_client->respond(m_stored_response.head, {});
    end(reason_name(reason).data());
}

void owner_exchange::respond_rejected(http_response_head head, std::string body)
{
    release_slot(run_outcome::rejection);
    m_stored_response = {std::move(head), std::move(body)};
    m_client->respond(m_stored_response.head, m_stored_response.body);
    end("rejected");
}

void owner_exchange::respond_failed(owner_reason reason)
{
    m_stored_response = {owner_response_builder::failed(build_report(owner_result::failed, reason)),
                         {}};
    if (m_client->has_begun()) {
        m_client->abort();
    }
    else {
        m_client->respond(m_stored_response.head, {});
    }
    end(reason_name(reason).data());
}

run_outcome owner_exchange::outcome_of_response() const
{
    if (m_response.is_rejection()) {
        return run_outcome::rejection;
    }
    if (!m_response.is_genuine()) {
        return run_outcome::failure;
    }
    if (!is_server_error(m_response.status())) {
        return run_outcome::success;
    }
    const bool call_failed = m_context.now() - m_context.local_failure_at < call_failure_window;
    const bool had_too_little_time =
        m_response.status() == HTTPResponse::HTTP_GATEWAY_TIMEOUT &&
        m_deadline - m_sent_at < m_context.owned.expected_service_time(m_metadata.route) * 2;
    return call_failed || had_too_little_time ? run_outcome::inconclusive : run_outcome::failure;
}

void owner_exchange::release_slot(run_outcome outcome)
{
    if (!m_has_slot) {
        return;
    }
    m_has_slot = false;
    clear_overdue(outcome == run_outcome::inconclusive);
    const auto service_time = m_context.now() - m_sent_at;
    m_context.owned.finish(m_metadata.route, service_time, outcome);
    m_context.metrics.record_run(m_context.own_service,
                                 outcome == run_outcome::success ? "success" : "no_success",
                                 service_time);
}

void owner_exchange::clear_overdue(bool outcome_is_unknown)
{
    if (m_is_overdue) {
        m_is_overdue = false;
        m_context.owned.record_overdue_end(outcome_is_unknown);
    }
}

attempt_report owner_exchange::build_report(owner_result result, owner_reason reason)
{
    const bool has_failed = result == owner_result::failed || is_server_error(m_response.status());
    const bool may_retry = m_metadata.may_retry && (result == owner_result::rejected ||
                                                    (has_failed && is_idempotent(m_metadata.kind)));
    if (may_retry && !m_grants_retry) {
        m_grants_retry =
            std::exchange(m_has_reserved_retry, false) || m_context.owned.grant_retry();
    }
    auto message = owner_response_builder::report(m_context, result, reason);
    message.grants_retry = m_grants_retry;
    if (m_has_slot) {
        // The report is sent before the outcome is recorded, so it includes the outcome in advance.
        const bool is_lost = result == owner_result::failed;
        message.failing_percent = m_context.owned.failure_probability_percent_after(
            is_lost ? run_outcome::failure : outcome_of_response());
    }
    return message;
}

void owner_exchange::end(const char* result)
{
    if (m_phase == phase::ended) {
        return;
    }
    const auto self = shared_from_this();
    m_phase = phase::ended;
    if (m_has_reserved_retry) {
        m_context.owned.revoke_retry();
    }
    m_context.loop.cancel(m_timer);
    m_context.loop.cancel(m_acknowledgement_timer);
    if (m_stores_response) {
        m_context.responses.finish(m_metadata.attempt_id, std::move(m_stored_response));
    }
    m_context.log.note(
        "owner", m_request_id,
        {{"result", result},
         {"upstream", m_upstream_id},
         {"entry", m_metadata.entry_address},
         {"attempt", std::to_string(m_metadata.attempt)},
         {"status", std::to_string(m_response.status())},
         {"fault", std::string(m_exchange_error)},
         {"remaining_ms", ms_text(m_metadata.remaining)},
         {"failing_percent", std::to_string(m_context.owned.failure_probability_percent())},
         {"load_percent", std::to_string(m_context.owned.load_percent())},
         {"waited_ms", ms_text((m_sent_at == steady_time() ? m_context.now() : m_sent_at) -
                               m_client->received_at())},
         {"expected_service_ms", ms_text(m_context.owned.expected_service_time(m_metadata.route))},
         {"elapsed_ms", ms_text(m_context.now() - m_client->received_at())}});
    m_context.on_health_reported(m_context.location.address,
                                 owner_response_builder::health(m_context));
    m_on_end(*this);
    m_context.run_waiting();
}

void owner_exchange::arm(std::chrono::nanoseconds delay, void (owner_exchange::*action)())
{
    m_context.loop.cancel(m_timer);
    const std::weak_ptr<owner_exchange> weak = weak_from_this();
    m_timer = m_context.loop.after(std::max<std::chrono::nanoseconds>(delay, 0ms), [weak, action] {
        const auto self = weak.lock();
        if (self && self->m_phase != phase::ended) {
            (self.get()->*action)();
        }
    });
}

} // namespace galenaroad
