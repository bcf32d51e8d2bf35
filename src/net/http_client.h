#pragma once

#include "net/byte_channel.h"
#include "net/http_body_decoder.h"
#include "net/http_head.h"
#include "net/shared_body.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace galenaroad {

/// Why an exchange ended without a complete response.
enum class exchange_error {
    not_connected, ///< No connection was established; nothing was sent.
    refused,       ///< Like not_connected: no process listens at the address.
    no_response,   ///< The connection ended before the complete head of the response.
    incomplete,    ///< The connection ended within the body of the response.
    malformed,     ///< The server sent bytes that are not a valid response.
    oversized,     ///< The response exceeds a size limit.
    timed_out,     ///< The response was not complete within the time limit.
};

/// @return the name of an error, for logs.
std::string_view exchange_error_name(exchange_error error);

/// @return true when the request was sent, so that the server may have received it.
bool was_sent(exchange_error error);

/// The request to which a received response belongs.
enum class response_match {
    own,     ///< The request of this exchange.
    other,   ///< An earlier request: the response is read and dropped.
    unknown, ///< It cannot be determined: the exchange fails.
};

/// A request to send, with its limits.
struct client_request {
    http_request_head head; ///< The framing is set from the body.
    shared_body body;
    /// Send the head with `Expect: 100-continue`, and the body only after the server has answered
    /// with 100. A server that refuses the request has then not received the body.
    bool expects_continue = false;
    std::chrono::milliseconds connect_timeout{400};
    /// Maximum idle time of a connection that may be reused; zero to always open a new one.
    std::chrono::milliseconds max_idle{0};
    /// Maximum time until the response is complete; zero when the caller limits the time itself.
    std::chrono::milliseconds time_limit{0};
    message_limits limits; ///< Limits of the response.
    /// Determines to which request a response belongs; if empty, every response belongs to this
    /// request. Guards against a server that sends a second response to an earlier request on the
    /// same connection.
    std::function<response_match(const http_response_head&)> match_response;
};

/// Callbacks of an exchange. It ends with exactly one call of `complete` or `failed`, unless it is
/// cancelled.
struct client_hooks {
    std::function<void()> connected; ///< A new connection is established.
    std::function<void()> interim;   ///< An interim response (1xx) was received.
    std::function<void(const http_response_head&)> head;
    std::function<void(std::string_view)> body;
    std::function<void()> complete;
    std::function<void(exchange_error)> failed;
};

class http_client;

/// One request and its response. Destroying it cancels the request, so the caller has to hold it
/// until it has ended.
class http_exchange : public std::enable_shared_from_this<http_exchange> {
public:
    http_exchange(http_client& client, std::string address, client_request request,
                  client_hooks callbacks);
    http_exchange(const http_exchange&) = delete;
    http_exchange& operator=(const http_exchange&) = delete;
    http_exchange(http_exchange&&) = delete;
    http_exchange& operator=(http_exchange&&) = delete;
    ~http_exchange();

    /// Ends the exchange and resets its connection. No callback is called afterwards.
    void cancel();

    /// Stops or resumes reading the response.
    void pause(bool paused);

    /// @return true when the connection had been used by an earlier exchange.
    bool is_reused() const { return m_reused; }

private:
    friend class http_client;

    void start(std::shared_ptr<byte_channel> channel, bool is_reused);
    void send_request();
    void send_body();
    bool has_sent_body() const;
    void on_received(std::string_view bytes);
    void on_ended(channel_end reason);
    bool read_head();
    void read_body();
    bool count_skipped(std::size_t bytes);
    void finish();
    void fail(exchange_error error);

    http_client& m_client;
    std::string m_address;
    client_request m_request;
    client_hooks m_hooks;
    std::shared_ptr<byte_channel> m_channel;
    std::string m_input;
    http_response_head m_head;
    http_body_decoder m_decoder;
    std::chrono::milliseconds m_keep_alive{
        0};                          ///< Announced by the server; zero when it announced none.
    std::size_t m_body_sent = 0;     ///< Body bytes passed to the channel.
    bool m_awaits_continue = false;  ///< The body is held back until the server sends 100.
    std::size_t m_skipped_bytes = 0; ///< Bytes of responses before the own response.
    event_loop::timer_id m_limit_timer = event_loop::no_timer;
    bool m_has_head = false;
    bool m_is_own_response = false;
    bool m_reused = false;
    bool m_done = false;
};

/// HTTP/1.1 client on an event loop, with a pool of persistent connections.
///
/// A connection is reused only when its last exchange was complete and nothing has been received on
/// it since, so that a late response never reaches another request.
class http_client {
public:
    /// Maximum number of idle connections for each address.
    static constexpr std::size_t max_idle_connections = 32;

    /// @param loop the loop; must outlive the client.
    explicit http_client(event_loop& loop);

    /// Sends a request.
    /// @param address IP address and port.
    /// @param request the request.
    /// @param callbacks called as the exchange proceeds, never from within this call.
    /// @return the exchange; the request is cancelled when it is destroyed.
    std::shared_ptr<http_exchange> send(const std::string& address, client_request request,
                                        client_hooks callbacks);

    /// Closes the idle connections to an address.
    void close_idle(const std::string& address);

    /// @return number of connections opened so far.
    std::uint64_t opened_connections() const { return m_opened; }

private:
    friend class http_exchange;

    struct idle_connection {
        std::shared_ptr<byte_channel> channel;
        steady_time since;
        std::chrono::milliseconds
            keep_alive; ///< Announced by the server; zero when it announced none.
    };

    std::shared_ptr<byte_channel> take_idle(const std::string& address,
                                            std::chrono::milliseconds max_idle);
    void add_idle(const std::string& address, std::shared_ptr<byte_channel> channel,
                  std::chrono::milliseconds keep_alive);
    void remove_idle(const std::string& address, const byte_channel* channel);

    event_loop& m_loop;
    std::map<std::string, std::vector<idle_connection>> m_idle;
    std::uint64_t m_opened = 0;
};

} // namespace galenaroad
