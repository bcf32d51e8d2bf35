#pragma once

#include "net/http_server.h"

#include <optional>

namespace galenaroad {

/// One client's connection to an http_server. Requests are processed one after another.
class http_server_connection : public std::enable_shared_from_this<http_server_connection> {
public:
    http_server_connection(http_server& server, std::shared_ptr<byte_channel> channel);

    /// Starts receiving requests.
    void start();

    /// Ends the connection when a timeout has expired: idle, request head, or request body.
    /// @param now the current time.
    void check_timeouts(steady_time now);

    /// @return the channel to the client.
    byte_channel& channel() { return *m_channel; }

    /// @return true while the response to a request is pending.
    bool is_responding() const { return m_phase == phase::responding; }

    /// @return true when the current response has to close the connection.
    bool must_close() const;

    /// Asks the client for a deferred body with `100 Continue`.
    /// @param receiver the exchange that receives the body.
    void receive_body(server_exchange& receiver);

    /// Called when the current response has been sent.
    /// @param closes true when the response announced that the connection closes.
    void on_response_finished(bool closes);

    /// Ends the connection.
    /// @param orderly false to reset the connection, so that the client sees a failure.
    void end(bool orderly);

    std::function<void()> disconnected; ///< Callback of the current exchange.
    std::function<void()> drained;      ///< Callback of the current exchange.

private:
    friend class server_exchange;

    enum class phase { idle, head, body, responding, ended };

    void on_received(std::string_view bytes);
    void on_ended();
    void parse();
    bool parse_head();
    bool parse_body();
    std::optional<int> decode_body();
    void parse_deferred_body();
    void fail_deferred_body();
    void accept_head(http_request_head head);
    bool is_body_slow(steady_time now) const;
    void refuse(int status);
    void dispatch(bool has_body);
    void enter(phase next);
    void leave_responding();
    void release_buffer();

    http_server& m_server;
    std::shared_ptr<byte_channel> m_channel;
    phase m_phase = phase::idle;
    steady_time m_last_progress;
    steady_time m_head_received_at; ///< When the head of the current request was complete.
    std::weak_ptr<server_exchange> m_body_receiver; ///< Receives the deferred body.
    std::string m_input;
    http_request_head m_head;
    http_body_decoder m_decoder;
    std::string m_body;
    std::size_t m_buffered_bytes = 0;
    bool m_parsing = false;
    bool m_is_body_pending = false; ///< The current request was dispatched without its body.
};

} // namespace galenaroad
