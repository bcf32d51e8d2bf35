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

/// Why an exchange did not end with a complete response.
enum class exchange_error {
    not_connected, ///< No connection was established; nothing was sent.
    refused,       ///< As not_connected, and no process listens at the address.
    no_response,   ///< The connection ended before the head of the response.
    incomplete,    ///< The connection ended within the response.
    malformed,     ///< The other end sent bytes that are no response.
    oversized,     ///< The other end sent more than the bounds of a response allow.
    timed_out,     ///< The response was not complete within the time limit.
};

/// @return the name of a fault, for logs.
std::string_view exchange_error_name(exchange_error error);

/// @return true when the request has left: the other end may have received it.
bool was_sent(exchange_error error);

/// To which request a response belongs.
enum class response_match {
    own,     ///< To the request of the exchange.
    other,   ///< To an earlier one: it is read and dropped.
    unknown, ///< It cannot be told: the exchange fails.
};

/// A request to be sent.
struct client_request {
    http_request_head head; ///< Its framing is set from the body.
    shared_body body;
    /// Send the head alone, and the body once the server asks for it with an interim response
    /// (100). A server that refuses the request has then not received the body.
    bool expects_continue = false;
    std::chrono::milliseconds connect_timeout{400};
    /// Longest idle time of a connection that may be used again; zero for a new connection.
    std::chrono::milliseconds max_idle{0};
    /// Longest time until the response is complete; zero when its user bounds it.
    std::chrono::milliseconds time_limit{0};
    message_limits limits; ///< On the response.
    /// Tells to which request a response belongs; without it, all are this request's. A server may
    /// send a second response to an earlier request on the same connection.
    std::function<response_match(const http_response_head&)> match_response;
};

/// Reactions to an exchange. Exactly one of `complete` and `failed` ends it, unless it is
/// cancelled.
struct client_hooks {
    std::function<void()> connected; ///< The request is on its way.
    std::function<void()> interim;   ///< An interim response (1xx) has arrived.
    std::function<void(const http_response_head&)> head;
    std::function<void(std::string_view)> body;
    std::function<void()> complete;
    std::function<void(exchange_error)> failed;
};

class http_client;

/// One request and its response. Lives as long as its user holds it; destroying it cancels it.
class http_exchange : public std::enable_shared_from_this<http_exchange> {
public:
    http_exchange(http_client& client, std::string address, client_request request,
                  client_hooks callbacks);
    http_exchange(const http_exchange&) = delete;
    http_exchange& operator=(const http_exchange&) = delete;
    http_exchange(http_exchange&&) = delete;
    http_exchange& operator=(http_exchange&&) = delete;
    ~http_exchange();

    /// Ends the exchange by breaking its connection; no hook is called any more.
    void cancel();

    /// Stops or resumes reading the response.
    void pause(bool paused);

    /// @return true when the connection had carried an exchange before.
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
        0};                          ///< As the server announced it; zero when it did not.
    std::size_t m_body_sent = 0;     ///< Bytes of the body that the channel has taken.
    bool m_awaits_continue = false;  ///< The server has not asked for the body yet.
    std::size_t m_skipped_bytes = 0; ///< Bytes of responses before the own one.
    event_loop::timer_id m_limit_timer = event_loop::no_timer;
    bool m_has_head = false;
    bool m_is_own_response = false;
    bool m_reused = false;
    bool m_done = false;
};

/// HTTP/1.1 client with kept connections on an event loop.
///
/// Only a connection whose last exchange was complete and that has sent nothing since is used
/// again, so that no late response reaches another request.
class http_client {
public:
    /// Idle connections kept for each address.
    static constexpr std::size_t max_idle_connections = 32;

    /// @param loop the loop; must outlive the client.
    explicit http_client(event_loop& loop);

    /// Sends a request.
    /// @param address IP address and port.
    /// @param request the request.
    /// @param reactions called as the exchange proceeds, never from within the call.
    /// @return the exchange; the request is cancelled when it is destroyed.
    std::shared_ptr<http_exchange> send(const std::string& address, client_request request,
                                        client_hooks callbacks);

    /// Closes the idle connections to an address.
    void close_idle(const std::string& address);

    /// @return connections that were opened so far.
    std::uint64_t opened_connections() const { return m_opened; }

private:
    friend class http_exchange;

    struct idle_connection {
        std::shared_ptr<byte_channel> channel;
        steady_time since;
        std::chrono::milliseconds keep_alive; ///< Zero when the server announced none.
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
