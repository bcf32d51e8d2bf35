#pragma once

#include "fleet/relay_message_codec.h"
#include "net/http_client.h"
#include "relay/buffered_body.h"
#include "relay/relay_context.h"

#include <functional>
#include <memory>
#include <string>

namespace galenaroad {

/// A request that an entry daemon sends to an owner.
struct owner_request {
    std::string owner; ///< Address of the owner.
    attempt_metadata metadata;
    http_request_head head; ///< As received from the client.
    shared_body body;
};

/// Callbacks of an owner_call. Exactly one of `complete` and `failed` ends the call, unless it is
/// cancelled.
struct owner_call_hooks {
    /// The owner has not acknowledged a request that may run twice.
    std::function<void()> unacknowledged;
    /// The response exceeds the buffer limit: stream_body() must be called.
    std::function<void()> buffer_exceeded;
    /// Receives the body of a streamed response piece by piece.
    std::function<void(std::string_view)> body_part;
    std::function<void()> complete;
    std::function<void(bool was_sent)> failed; ///< The call ended without a response.
};

/// One request to an owner and its response.
///
/// If a request must not run twice and its connection is lost or becomes silent while the upstream
/// works, the response is fetched from the owner on another connection, until the call is cancelled
/// at the deadline of the request.
class owner_call : public std::enable_shared_from_this<owner_call> {
public:
    /// An owner acknowledges each request at once. While an at-most-once request runs, the owner
    /// repeats the acknowledgement at this interval.
    static constexpr std::chrono::milliseconds acknowledgement_interval{1000};

    /// An owner forwards the body of a rejection up to this size.
    static constexpr std::size_t max_rejection_bytes = std::size_t{64} * 1024;

    /// @param context shared state; must outlive the call.
    /// @param request the request.
    /// @param hooks called as the call proceeds, never from within send().
    owner_call(relay_context& context, owner_request request, owner_call_hooks hooks);

    /// Sends the request.
    void send();

    /// Cancels the call; no callback is called afterwards.
    void cancel();

    /// Pauses or resumes reading the response.
    void pause(bool paused);

    /// Passes the buffered body and everything that follows to the `body_part` callback.
    void stream_body();

    /// @return address of the owner.
    const std::string& owner() const { return m_request.owner; }

    /// @return head of the response, once it has been received.
    const http_response_head& head() const { return m_head; }

    /// @return the report that the owner sent with the response.
    const attempt_report& report() const { return m_report; }

    /// @return the body of the response, unless it is streamed.
    const std::string& body() const { return m_body.text(); }

    /// @return the body of the response, which this call no longer holds.
    buffered_body take_body() { return std::move(m_body); }

    /// @return true after `complete` or `failed`.
    bool has_ended() const { return m_has_ended; }

private:
    /// Connection on which a response arrives.
    enum class source { first, fetch };

    client_request wire_request() const;
    client_request fetch_request() const;
    client_hooks hooks_for(source from);
    template <typename Action>
    auto guarded(Action action);
    void on_acknowledged();
    void on_acknowledgement_timeout();
    void on_head(source from, const http_response_head& head);
    void process_report(const http_response_head& head);
    void on_body(std::string_view bytes);
    void on_body_limit(std::string_view bytes);
    void on_complete();
    void on_failed(source from, exchange_error error);
    void on_first_failed(exchange_error error);
    void on_fetch_failed(exchange_error error);
    void arm(std::chrono::milliseconds delay, void (owner_call::*action)());
    void fetch();
    void log_decision(const char* decision, log_fields fields) const;
    void end();

    relay_context& m_context;
    owner_request m_request;
    owner_call_hooks m_hooks;
    std::string m_request_id;
    std::string m_owner_token; ///< Latest token of the owner from before the request was sent.
    bool m_is_at_most_once;
    std::shared_ptr<http_exchange> m_first_exchange;
    std::shared_ptr<http_exchange> m_fetch_exchange; ///< Request for the stored response, or null.
    http_response_head m_head;
    attempt_report m_report;
    buffered_body m_body;
    int m_fetch_count = 0;
    bool m_is_streaming = false;
    bool m_first_connection_lost = false; ///< The first connection has ended.
    bool m_has_ended = false;
    event_loop::timer_id m_timer = event_loop::no_timer;
};

} // namespace galenaroad
