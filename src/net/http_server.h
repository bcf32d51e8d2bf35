#pragma once

#include "net/byte_channel.h"
#include "net/http_body_decoder.h"
#include "net/http_head.h"

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
    /// Request bodies of all connections together; a further body is refused.
    std::size_t max_buffered_bytes = std::size_t{64} * 1024 * 1024;
    std::size_t max_connections = 3000;
};

/// A request that has been received whole, and the means to answer it.
class server_exchange {
public:
    server_exchange(std::shared_ptr<http_server_connection> connection, http_request_head head,
                    std::string body);

    /// @return the request's head.
    const http_request_head& head() const { return m_head; }

    /// @return the request's body.
    const std::string& body() const { return m_body; }

    /// @return IP address of the client.
    const std::string& client_host() const;

    /// @return when the request had been received.
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
    void on_gone(std::function<void()> reaction);

    /// @param reaction called whenever all bytes written so far have left.
    void on_drained(std::function<void()> reaction);

    /// @return bytes that wait to be sent.
    std::size_t unsent() const;

    /// @return true after begin() or respond().
    bool has_begun() const { return m_has_begun; }

private:
    bool is_open() const;

    std::shared_ptr<http_server_connection> m_connection;
    http_request_head m_head;
    std::string m_body;
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

    /// Replaces the limits, for connections that are open as well.
    void set_limits(const server_limits& limits) { m_limits = limits; }

    /// From now on each response closes its connection, and idle connections are closed.
    void start_closing();

    /// @return true after start_closing().
    bool is_closing() const { return m_closing; }

    /// @return true while bytes of a response wait to be sent, also on connections that close.
    bool has_output();

    /// @return requests that have been received and not been answered completely.
    std::size_t open_requests() const { return m_open_requests; }

private:
    friend class http_server_connection;
    friend class server_exchange;

    void accept_some();
    void sweep();

    event_loop& m_loop;
    server_limits m_limits;
    request_handler m_on_request;
    Poco::Net::ServerSocket m_socket;
    std::set<std::shared_ptr<http_server_connection>> m_connections;
    std::vector<std::weak_ptr<byte_channel>> m_closing_channels; ///< With their last bytes.
    std::size_t m_open_requests = 0;
    std::size_t m_buffered_bytes = 0;
    event_loop::timer_id m_sweep_timer = event_loop::no_timer;
    bool m_listening = false;
    bool m_closing = false;
};

} // namespace galenaroad
