#pragma once

#include "net/http_server.h"
#include "relay/buffered_body.h"
#include "relay/relay_context.h"
#include "relay/upstream_response.h"

#include <memory>

namespace galenaroad {

/// Handles one request that an entry daemon has sent to this owner: admits it, runs it at the
/// upstream and forwards the response.
class owner_exchange : public std::enable_shared_from_this<owner_exchange> {
public:
    /// @param context shared state; must outlive the exchange.
    /// @param client the request from the entry daemon.
    /// @param metadata the metadata that the entry daemon sent with the request.
    /// @param on_end called once when the exchange has ended; may destroy the exchange.
    owner_exchange(relay_context& context, std::shared_ptr<server_exchange> client,
                   attempt_metadata metadata, std::function<void(owner_exchange&)> on_end);

    /// Admits or refuses the request.
    void start();

    /// Runs the request once it has a slot.
    void run();

    /// Refuses a waiting request that can no longer be served in time.
    void refuse_as_unservable();

    /// Ends the request because the daemon is about to exit. Its entry is told that it has not run,
    /// or that the exit has interrupted it.
    void interrupt();

    /// @return the request's ticket for a slot; 0 if the request was refused.
    std::uint64_t ticket() const { return m_ticket; }

private:
    enum class phase {
        admitting,
        waiting,   ///< Waits for a slot.
        receiving, ///< Holds a slot and waits for the rest of the body.
        running,
        ended,
    };

    /// Whether the upstream may already have received the request from this exchange.
    enum class sending { first, repeated };

    void on_body_received();
    void start_run();
    owner_reason try_send(sending kind, std::chrono::milliseconds max_idle);
    owner_reason check_sending() const;
    bool reserve_retry();
    void send(std::chrono::milliseconds max_idle);
    bool try_resend();
    void on_head(const http_response_head& head);
    http_response_head forwarded_head(const http_response_head& head);
    void on_body(std::string_view bytes);
    void on_complete();
    bool is_rejected() const;
    void abort_rejection();
    void on_failed(exchange_error error);
    void on_client_disconnected();
    void on_wait_timeout();
    void on_overdue();
    void on_deadline();
    void on_body_timeout();
    void abort_run();
    bool extend_past_deadline();
    bool register_start();
    void acknowledge();
    void respond_not_run(owner_reason reason, std::chrono::milliseconds retry_after);
    void respond_rejected(http_response_head head, std::string body);
    void respond_failed(owner_reason reason);
    void release_slot(run_outcome outcome);
    void clear_overdue(bool outcome_is_unknown);
    run_outcome outcome_of_response() const;
    attempt_report build_report(owner_result result, owner_reason reason);
    void end(const char* result);
    void arm(std::chrono::nanoseconds delay, void (owner_exchange::*action)());

    relay_context& m_context;
    std::shared_ptr<server_exchange> m_client;
    attempt_metadata m_metadata;
    std::function<void(owner_exchange&)> m_on_end;
    std::shared_ptr<http_exchange> m_call;
    std::string m_request_id;
    std::string m_upstream_id; ///< Upstream that the request was sent to.
    /// Response as far as it has been received; only for at-most-once requests.
    stored_response m_stored_response;
    steady_time m_deadline;
    steady_time m_sent_at;
    phase m_phase = phase::admitting;
    std::uint64_t m_ticket = 0;
    upstream_response m_response;
    /// Response in which the upstream rejects the request. It is forwarded only as a whole, since
    /// the rejection itself is complete with the head.
    http_response_head m_rejection_head;
    buffered_body m_rejection_body;
    /// How the exchange with the upstream failed; empty if it did not.
    std::string_view m_exchange_error;
    bool m_client_is_disconnected = false;
    bool m_was_resent = false;
    bool m_has_slot = false;
    bool m_is_overdue = false; ///< Recorded at the owned upstream as overdue; see clear_overdue().
    /// The retry after this attempt is already charged to the retry budget.
    bool m_grants_retry = false;
    /// So is the retry that becomes necessary if the exit interrupts this attempt.
    bool m_has_reserved_retry = false;
    /// The response can be fetched after its connection has been lost.
    bool m_stores_response = false;
    event_loop::timer_id m_timer = event_loop::no_timer;
    event_loop::timer_id m_acknowledgement_timer = event_loop::no_timer;
};

} // namespace galenaroad
