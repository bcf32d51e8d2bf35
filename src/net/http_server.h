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

/// Bounds on what a client may send and how long it may take.
struct server_limits {
    std::size_t max_head_bytes = std::size_t{16} * 1024;
    std::uint64_t max_body_bytes = std::uint64_t{64} * 1024 * 1024;
    std::chrono::milliseconds head_timeout{3000};
    std::chrono::milliseconds idle_timeout{15000};
    /// Bytes a second that a body has to bring on average, once `idle_timeout` has passed.
    std::size_t min_body_rate = 1024;
    /// Longest pause within a body that the server has asked for.
    std::chrono::milliseconds body_timeout{15000};
    /// Request bodies of all connections together; a further body is refused.
    std::size_t max_buffered_bytes = std::size_t{64} * 1024 * 1024;
    std::size_t max_connections = 3000;
};

/// A request that has been received, and the means to answer it. It is received whole, unless the
/// server defers bodies and the client has offered the body.
class server_exchange : public std::enable_shared_from_this<server_exchange> {
public:
    server_exchange(std::shared_ptr<http_server_connection> connection, http_request_head head,
                    shared_body body, bool has_body);

    /// @return the request's head.
    const http_request_head& head() const { return m_head; }

    /// @return the request's body; empty until it has been received.
    const std::string& body() const { return m_body.text(); }

    /// @return the same without a copy.
    const shared_body& body_bytes() const { return m_body; }

    /// @return false while the body is only offered, or not received completely.
    bool has_body() const { return m_has_body; }

    /// Asks the client for a body that it has offered. An answer without the body closes the
    /// connection.
    /// @param on_received called once when it is complete; `on_disconnected` is called when it
    /// fails.
    void receive_body(std::function<void()> on_received);

    /// @return IP address of the client.
    const std::string& client_host() const;

    /// @return when the head of the request had been received.
    steady_time received_at() const { return m_received_at; }

    /// Sends a whole response.
    /// @param head its head; the framing is set here.
    /// @param body its body.
    void respond(http_response_head head, std::string_view body);

    /// Tells the client that the request has been received and is being worked on.
    void acknowledge();

    /// Begins a response whose body follows in parts.
    /// @param head its head with its framing; an unknown length is sent in chunks.
    void begin(http_response_head head);

    /// Sends a part of the body.
    void write(std::string_view bytes);

    /// Completes a response that was begun.
    void finish();

    /// Breaks the connection, so that the client sees an incomplete response.
    void abort();

    /// @param reaction called once when the client has closed the connection before the end of
    /// the response.
    void on_disconnected(std::function<void()> callback);

    /// @param reaction called whenever all bytes written so far have left.
    void on_drained(std::function<void()> callback);

    /// @return bytes that wait to be sent.
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

/// HTTP/1.1 server on an event loop. A connection costs no thread, so slow clients hold up nobody.
class http_server {
public:
    using request_handler = std::function<void(std::shared_ptr<server_exchange>)>;

    /// @param loop the loop; must outlive the server.
    /// @param limits bounds on clients.
    /// @param on_request called with each whole request.
    http_server(event_loop& loop, server_limits limits, request_handler on_request);
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;
    http_server(http_server&&) = delete;
    http_server& operator=(http_server&&) = delete;
    ~http_server();

    /// Starts to listen.
    /// @param address IP address and port.
    /// @throw Poco::Exception when the address cannot be bound.
    void listen(const std::string& address);

    /// Replaces the limits, for connections that are open as well. Clients may count on a former,
    /// longer idle timeout for as long as it lasts.
    void set_limits(const server_limits& limits);

    /// Requests whose client offers the body (`Expect: 100-continue`) are handed over before it.
    void defer_bodies() { m_defers_bodies = true; }

    /// From now on each response closes its connection, and idle connections are closed.
    void start_closing();

    /// @return true after start_closing().
    bool is_closing() const { return m_closing; }

    /// @return true while bytes of a response wait to be sent, also on connections that close.
    bool has_unsent_bytes();

    /// @return requests that have been received and not been answered completely.
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
    std::vector<std::weak_ptr<byte_channel>> m_closing_channels; ///< With their last bytes.
    std::chrono::milliseconds m_previous_idle_timeout{0};
    steady_time m_previous_idle_timeout_until; ///< The former idle timeout holds until then.
    bool m_defers_bodies = false;
    std::size_t m_open_requests = 0;
    std::size_t m_buffered_bytes = 0;
    event_loop::timer_id m_timeout_timer = event_loop::no_timer;
    bool m_listening = false;
    bool m_closing = false;
};

} // namespace galenaroad
