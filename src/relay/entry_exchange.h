#pragma once

#include "load/owner_search.h"
#include "net/http_server.h"
#include "relay/entry_quota.h"
#include "relay/entry_route.h"
#include "relay/owner_call.h"
#include "relay/relay_context.h"
#include "relay/response_stream.h"

#include <memory>
#include <string_view>

namespace galenaroad {

/// Handles one client request: finds its route, sends it to the owners chosen by owner_search
/// and delivers the response.
class entry_exchange : public std::enable_shared_from_this<entry_exchange> {
public:
    /// @param context shared state; must outlive the exchange.
    /// @param client the request.
    /// @param on_end called once, when the exchange has ended; may destroy the exchange.
    entry_exchange(relay_context& context, std::shared_ptr<server_exchange> client,
                   std::function<void(entry_exchange&)> on_end);

    /// Starts handling the request.
    void start();

    /// Responds at once with the outcome known so far, because the daemon is about to exit.
    void finish_now();

private:
    /// Whether an upstream may have run the request so far.
    enum class execution { not_run, may_have_run };

    using call_ptr = std::shared_ptr<owner_call>;

    /// Upstream response that is delivered unless a retry gets a better one.
    struct candidate_response {
        http_response_head head;
        buffered_body body;
        bool is_valid = false;
    };

    void request_token();
    void try_next_owner();
    void record_probe();
    void send_to(const owner_record& owner);
    attempt_metadata metadata_for(const owner_record& owner) const;
    call_ptr make_call(owner_request request);
    void on_unacknowledged(const call_ptr& call);
    void on_buffer_exceeded(const call_ptr& call);
    void on_body_part(const call_ptr& call, std::string_view bytes);
    void on_complete(const call_ptr& call);
    void on_slow_attempt_complete(const call_ptr& call);
    void on_failed(const call_ptr& call, bool was_sent);
    void on_owner_refused();
    void on_attempt_failed();
    void on_attempt_slow();
    void retry_slow_attempt();
    void retry_interrupted();
    bool waits_for_slow_attempt();
    void cancel_calls();
    void on_client_disconnected();
    void on_deadline();
    void abort_response();
    bool may_retry() const;
    bool may_be_interrupted(const std::string& owner) const;
    bool has_retry_left() const;
    void deliver();
    void give_up();
    void give_up_now();
    void respond_with_error(entry_error error);
    std::chrono::milliseconds retry_after() const;
    void record_and_end(int status, std::string_view reason);
    void end();
    bool has_not_run() const;
    /// @return the rule of the request's route; valid once the route has been found.
    const route_rule& rule() const { return *m_route.rule(); }
    std::chrono::milliseconds remaining() const;

    relay_context& m_context;
    std::shared_ptr<server_exchange> m_client;
    std::function<void(entry_exchange&)> m_on_end;
    std::string m_request_id;
    entry_route m_route;
    entry_quota m_quota;
    call_ptr m_current_attempt; ///< The latest attempt, also after its end; null before the first.
    call_ptr m_slow_attempt;    ///< A slow attempt that runs in parallel, or null.
    owner_search m_search;
    candidate_response m_candidate;
    std::unique_ptr<response_stream> m_stream; ///< Streams a large response; null before one.
    execution m_execution = execution::not_run;
    int m_attempts = 0;                         ///< Upstreams to which the request was sent.
    bool m_retry_is_granted = false;            ///< The next attempt needs no retry budget.
    bool m_is_waiting_for_slow_attempt = false; ///< The current attempt has failed.
    /// The latest attempt that an upstream has run was interrupted by the exit of its owner.
    bool m_is_interrupted = false;
    bool m_client_is_disconnected = false;
    bool m_ended = false;
    event_loop::timer_id m_deadline_timer = event_loop::no_timer;
    event_loop::timer_id m_attempt_timer = event_loop::no_timer;
};

} // namespace galenaroad
