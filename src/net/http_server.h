#pragma once

#include "net/byte_channel.h"
#include "net/http_body_decoder.h"
#include "net/http_head.h"
#include "net/shared_body.h"

#include <Poco/Net/ServerSocket.h>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace galenaroad {

class http_server_connection;

/// Size limits and timeouts for the clients of an http_server.
struct server_limits {
    std::size_t max_head_bytes = std::size_t{16} * 1024;
    std::uint64_t max_body_bytes = std::uint64_t{64} * 1024 * 1024;
    std::chrono::milliseconds head_timeout{3000};
    std::chrono::milliseconds idle_timeout{15000};
    /// Minimum average rate of a request body in bytes per second, once `idle_timeout` has passed.
    std::size_t min_body_rate = 1024;
    /// Maximum pause within a deferred body after the server has asked for it.
    std::chrono::milliseconds body_timeout{15000};
    /// Total size of the buffered request bodies of all connections; further bodies are refused.
    std::size_t max_buffered_bytes = std::size_t{64} * 1024 * 1024;
    std::size_t max_connections = 3000;
};

/// A received request and the interface to respond to it. The request is complete, unless the
/// server defers bodies and the client waits for `100 Continue` before it sends the body.
class server_exchange : public std::enable_shared_from_this<server_exchange> {
public:
    server_exchange(std::shared_ptr<http_server_connection> connection, http_request_head head,
                    shared_body body, bool has_body);

    /// @return the request's head.
    const http_request_head& head() const { return m_head; }

    /// @return the request's body; empty until it has been received.
    const std::string& body() const { return m_body.text(); }

    /// @return the request's body, to be shared without a copy.
    const shared_body& body_bytes() const { return m_body; }

    /// @return false while a deferred body has not been received completely.
    bool has_body() const { return m_has_body; }

    /// Asks the client for a deferred body with `100 Continue`. A response that is sent without
    /// receiving the body closes the connection.
    /// @param on_received called once when the body is complete; if receiving fails, the callback
    /// set by on_disconnected() is called instead.
    void receive_body(std::function<void()> on_received);

    /// @return IP address of the client.
    const std::string& client_host() const;

    /// @return when the complete head of the request had been received.
    steady_time received_at() const { return m_received_at; }

    /// Sends a complete response.
    /// @param head the response's head; its framing is set from the body.
    /// @param body the response's body.
    void respond(http_response_head head, std::string_view body);

    /// Sends the interim response `102 Processing`, which reports that the request was received.
    void acknowledge();

    /// Begins a response whose body is sent in parts with write().
    /// @param head the response's head with its framing; a body of unknown length is sent chunked.
    void begin(http_response_head head);

    /// Sends a part of the body.
    void write(std::string_view bytes);

    /// Completes a response that was started by begin().
    void finish();

    /// Resets the connection, so that the client sees an incomplete response.
    void abort();

    /// Sets the callback for a client that disconnects.
    /// @param callback called once when the connection ends before the end of the response.
    void on_disconnected(std::function<void()> callback);

    /// Sets the callback for an empty output buffer.
    /// @param callback called whenever all bytes written so far have been sent.
    void on_drained(std::function<void()> callback);

    /// @return number of buffered bytes that have not been sent yet.
    std::size_t unsent() const;

    /// @return true after begin() or respond().
    bool has_begun() const { return m_has_begun; }

private:
    friend class http_server_connection;

    bool is_open() const;

    std::shared_ptr<http_server_connection> m_connection;
    http_request_head m_head;
    shared_body m_body;
    bool m_has_body;
    std::function<void()> m_on_body_received;
    steady_time m_received_at;
    http_framing m_framing;
    bool m_has_begun = false;
    bool m_is_done = false;
};

/// HTTP/1.1 server on an event loop. Connections do not occupy threads, so slow clients do not
/// delay others.
class http_server {
public:
    using request_handler = std::function<void(std::shared_ptr<server_exchange>)>;

    /// @param loop the loop; must outlive the server.
    /// @param limits size limits and timeouts for clients.
    /// @param on_request called with each received request.
    http_server(event_loop& loop, server_limits limits, request_handler on_request);
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;
    http_server(http_server&&) = delete;
    http_server& operator=(http_server&&) = delete;
    ~http_server();

    /// Starts listening.
    /// @param address IP address and port.
    /// @throw Poco::Exception when the address cannot be bound.
    void listen(const std::string& address);

    /// Replaces the limits, also for open connections. A longer previous idle timeout stays in
    /// effect for its own duration, since clients may rely on it.
    void set_limits(const server_limits& limits);

    /// Passes requests with `Expect: 100-continue` to the handler before their body is received;
    /// see server_exchange::receive_body().
    void defer_bodies() { m_defers_bodies = true; }

    /// Starts shutting down: from now on each response closes its connection, and idle connections
    /// are closed.
    void start_closing();

    /// @return true after start_closing().
    bool is_closing() const { return m_closing; }

    /// @return true while bytes of a response wait to be sent, including on closing connections.
    bool has_unsent_bytes();

    /// @return number of received requests whose response is not complete.
    std::size_t open_requests() const { return m_open_requests; }

private:
    friend class http_server_connection;
    friend class server_exchange;

    void accept_connections();
    void check_timeouts();
    std::chrono::milliseconds idle_timeout(steady_time now) const;

    event_loop& m_loop;
    server_limits m_limits;
    request_handler m_on_request;
    Poco::Net::ServerSocket m_socket;
    std::set<std::shared_ptr<http_server_connection>> m_connections;
    std::vector<std::weak_ptr<byte_channel>>
        m_closing_channels; ///< Closed while bytes waited to be sent.
    std::chrono::milliseconds m_previous_idle_timeout{0};
    steady_time m_previous_idle_timeout_until; ///< When the previous one ends.
    bool m_defers_bodies = false;
    std::size_t m_open_requests = 0;
    std::size_t m_buffered_bytes = 0;
    event_loop::timer_id m_timeout_timer = event_loop::no_timer;
    bool m_listening = false;
    bool m_closing = false;
};

} // namespace galenaroad
