#include "net/http_server.h"

#include "net/http_server_connection.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <algorithm>
#include <array>
#include <cstdio>

namespace galenaroad {

namespace {

using namespace std::chrono_literals;

constexpr int listen_backlog = 512;
constexpr int accepts_per_event = 32;
constexpr auto timeout_check_interval = 250ms;

std::string chunk_size_line(std::size_t size)
{
    std::array<char, 24> text{};
    const int length = std::snprintf(text.data(), text.size(), "%zx\r\n", size);
    return {text.data(), static_cast<std::size_t>(length)};
}

} // namespace

server_exchange::server_exchange(std::shared_ptr<http_server_connection> connection,
                                 http_request_head head, shared_body body, bool has_body)
    : m_connection(std::move(connection)),
      m_head(std::move(head)),
      m_body(std::move(body)),
      m_has_body(has_body),
      m_received_at(m_connection->m_head_received_at)
{
}

void server_exchange::receive_body(std::function<void()> on_received)
{
    if (is_open() && !m_has_body) {
        m_on_body_received = std::move(on_received);
        m_connection->receive_body(*this);
    }
}

const std::string& server_exchange::client_host() const
{
    return m_connection->channel().peer_host();
}

// A finished exchange is not open: its connection may already be responding to a later request.
bool server_exchange::is_open() const
{
    return !m_is_done && m_connection->is_responding();
}

void server_exchange::respond(http_response_head head, std::string_view body)
{
    head.framing = {body_end::length, body.size()};
    begin(std::move(head));
    write(body);
    finish();
}

void server_exchange::acknowledge()
{
    if (is_open() && !m_has_begun && !m_head.is_http_1_0) {
        m_connection->channel().send("HTTP/1.1 102 Processing\r\n\r\n");
    }
}

void server_exchange::begin(http_response_head head)
{
    if (!is_open() || m_has_begun) {
        return;
    }
    m_has_begun = true;
    constexpr int no_content = 204;
    constexpr int not_modified = 304;
    if (head.status == no_content || head.status == not_modified) {
        head.framing = {};
    }
    if (head.framing.end == body_end::close) {
        head.framing = {m_head.is_http_1_0 ? body_end::close : body_end::chunked, 0};
    }
    m_framing = head.framing;
    head.keep_alive = head.keep_alive && m_head.keep_alive && !m_connection->must_close() &&
                      m_framing.end != body_end::close;
    m_head.keep_alive = head.keep_alive;
    m_connection->channel().send(http_head::write(head));
}

void server_exchange::write(std::string_view bytes)
{
    const bool has_body = m_head.method != "HEAD" && m_framing.end != body_end::none;
    if (!is_open() || bytes.empty() || !has_body) {
        return;
    }
    auto& channel = m_connection->channel();
    if (m_framing.end == body_end::chunked) {
        channel.send(chunk_size_line(bytes.size()).append(bytes).append("\r\n"));
        return;
    }
    channel.send(bytes);
}

void server_exchange::finish()
{
    if (!is_open()) {
        return;
    }
    m_is_done = true;
    if (m_framing.end == body_end::chunked && m_head.method != "HEAD") {
        m_connection->channel().send("0\r\n\r\n");
    }
    m_connection->on_response_finished(!m_head.keep_alive);
}

void server_exchange::abort()
{
    if (is_open()) {
        m_is_done = true;
        m_connection->end(false);
    }
}

void server_exchange::on_disconnected(std::function<void()> callback)
{
    if (is_open()) {
        m_connection->disconnected = std::move(callback);
    }
}

void server_exchange::on_drained(std::function<void()> callback)
{
    if (is_open()) {
        m_connection->drained = std::move(callback);
    }
}

std::size_t server_exchange::unsent() const
{
    return m_connection->channel().unsent();
}

http_server::http_server(event_loop& loop, server_limits limits, request_handler on_request)
    : m_loop(loop), m_limits(limits), m_on_request(std::move(on_request))
{
}

http_server::~http_server()
{
    // Exchanges may outlive the server. Their connections are ended, so that they send nothing
    // more.
    const auto connections = std::move(m_connections);
    m_connections.clear();
    for (const auto& each : connections) {
        each->end(false);
    }
    m_loop.cancel(m_timeout_timer);
    if (m_listening) {
        m_loop.unwatch(m_socket);
    }
}

bool http_server::has_unsent_bytes()
{
    const auto has_sent_all = [](const std::weak_ptr<byte_channel>& each) {
        const auto channel = each.lock();
        return !channel || channel->unsent() == 0;
    };
    m_closing_channels.erase(
        std::remove_if(m_closing_channels.begin(), m_closing_channels.end(), has_sent_all),
        m_closing_channels.end());
    return !m_closing_channels.empty() ||
           std::any_of(m_connections.begin(), m_connections.end(),
                       [](const auto& each) { return each->channel().unsent() > 0; });
}

void http_server::listen(const std::string& address)
{
    m_socket.bind(Poco::Net::SocketAddress(address), true, false);
    m_socket.listen(listen_backlog);
    m_socket.setBlocking(false);
    m_listening = true;
    m_loop.watch(m_socket, socket_interest::read,
                 [this](socket_readiness) { accept_connections(); });
    check_timeouts();
}

void http_server::accept_connections()
{
    for (int accepted = 0; accepted < accepts_per_event; ++accepted) {
        try {
            const auto socket = m_socket.acceptConnection();
            if (m_connections.size() >= m_limits.max_connections) {
                continue;
            }
            auto connection = std::make_shared<http_server_connection>(
                *this, byte_channel::accept(m_loop, socket));
            m_connections.insert(connection);
            connection->start();
        }
        catch (const Poco::Exception&) {
            // There is no further connection, or the client has already disconnected.
            return;
        }
    }
}

void http_server::check_timeouts()
{
    const auto now = m_loop.time().steady_now();
    const auto connections = m_connections;
    for (const auto& each : connections) {
        each->check_timeouts(now);
    }
    m_timeout_timer = m_loop.after(timeout_check_interval, [this] { check_timeouts(); });
}

void http_server::set_limits(const server_limits& limits)
{
    const auto now = m_loop.time().steady_now();
    const auto previous = idle_timeout(now);
    if (limits.idle_timeout < previous) {
        m_previous_idle_timeout = previous;
        m_previous_idle_timeout_until = now + previous;
    }
    m_limits = limits;
}

std::chrono::milliseconds http_server::idle_timeout(steady_time now) const
{
    const bool uses_previous = now < m_previous_idle_timeout_until;
    return uses_previous ? std::max(m_limits.idle_timeout, m_previous_idle_timeout)
                         : m_limits.idle_timeout;
}

void http_server::start_closing()
{
    m_closing = true;
}

} // namespace galenaroad
