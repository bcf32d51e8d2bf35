#include "net/http_server_connection.h"

#include <Poco/Net/HTTPResponse.h>

namespace galenaroad {

namespace {

using Poco::Net::HTTPResponse;

// Maximum input that is buffered behind the current request; more input pauses reading.
constexpr std::size_t max_pipelined_bytes = std::size_t{64} * 1024;
// Idle timeout while the server is closing. A request that is already in flight still arrives
// within this time.
constexpr auto closing_idle_time = std::chrono::milliseconds(500);

} // namespace

http_server_connection::http_server_connection(http_server& server,
                                               std::shared_ptr<byte_channel> channel)
    : m_server(server),
      m_channel(std::move(channel)),
      m_last_progress(server.m_loop.time().steady_now())
{
}

void http_server_connection::start()
{
    const std::weak_ptr<http_server_connection> weak = weak_from_this();
    byte_channel::hooks callbacks;
    callbacks.received = [weak](std::string_view bytes) {
        if (const auto self = weak.lock()) {
            self->on_received(bytes);
        }
    };
    callbacks.drained = [weak] {
        const auto self = weak.lock();
        if (self && self->drained) {
            const auto callback = self->drained;
            callback();
        }
    };
    callbacks.ended = [weak](channel_end) {
        if (const auto self = weak.lock()) {
            self->on_ended();
        }
    };
    m_channel->set_hooks(std::move(callbacks));
}

void http_server_connection::on_received(std::string_view bytes)
{
    m_input.append(bytes);
    if (!m_body_receiver.expired()) {
        parse_deferred_body();
        return;
    }
    if (m_phase == phase::responding) {
        m_channel->pause(m_input.size() > max_pipelined_bytes);
        return;
    }
    parse();
}

void http_server_connection::on_ended()
{
    const auto self = shared_from_this();
    const auto callback = std::move(disconnected);
    leave_responding();
    enter(phase::ended);
    m_server.m_connections.erase(self);
    if (callback) {
        callback();
    }
}

void http_server_connection::parse()
{
    // A handler may respond at once, which calls parse() recursively.
    if (m_parsing) {
        return;
    }
    m_parsing = true;
    const auto self = shared_from_this();
    bool can_continue = true;
    while (can_continue) {
        if (m_phase == phase::idle && !m_input.empty()) {
            enter(phase::head);
        }
        if (m_phase == phase::head) {
            can_continue = parse_head();
        }
        else {
            can_continue = m_phase == phase::body && parse_body();
        }
    }
    m_parsing = false;
}

// Returns true when parsing can continue.
bool http_server_connection::parse_head()
{
    constexpr std::string_view head_end = "\r\n\r\n";
    // An empty line before a request is ignored (RFC 9112, section 2.2).
    while (m_input.compare(0, 2, "\r\n") == 0) {
        m_input.erase(0, 2);
    }
    const auto end = m_input.find(head_end);
    const auto size = end == std::string::npos ? m_input.size() : end + head_end.size();
    if (size > m_server.m_limits.max_head_bytes) {
        refuse(HTTPResponse::HTTP_REQUEST_HEADER_FIELDS_TOO_LARGE);
        return false;
    }
    if (end == std::string::npos) {
        return false;
    }
    auto head = http_head::read_request(std::string_view(m_input).substr(0, size));
    m_input.erase(0, size);
    if (!head) {
        refuse(head.error() == head_error::not_supported ? HTTPResponse::HTTP_NOT_IMPLEMENTED
                                                         : HTTPResponse::HTTP_BAD_REQUEST);
        return false;
    }
    accept_head(std::move(*head));
    return m_phase == phase::body || m_phase == phase::idle;
}

void http_server_connection::accept_head(http_request_head head)
{
    m_head = std::move(head);
    m_head_received_at = m_server.m_loop.time().steady_now();
    m_decoder = http_body_decoder(m_head.framing);
    m_body.clear();
    if (m_head.framing.end == body_end::length &&
        m_head.framing.length > m_server.m_limits.max_body_bytes) {
        refuse(HTTPResponse::HTTP_REQUEST_ENTITY_TOO_LARGE);
        return;
    }
    enter(phase::body);
    const bool expects_continue = http_head::find(m_head.fields, "Expect").has_value();
    if (!expects_continue || m_decoder.current() != http_body_decoder::state::incomplete) {
        return;
    }
    if (m_server.m_defers_bodies) {
        dispatch(false);
        return;
    }
    m_channel->send("HTTP/1.1 100 Continue\r\n\r\n");
}

bool http_server_connection::parse_body()
{
    const auto refusal = decode_body();
    if (refusal) {
        refuse(*refusal);
        return false;
    }
    if (m_decoder.current() == http_body_decoder::state::incomplete) {
        m_last_progress = m_server.m_loop.time().steady_now();
        return false;
    }
    dispatch(true);
    return m_phase == phase::idle;
}

// Returns the status with which the request has to be refused, or nothing.
std::optional<int> http_server_connection::decode_body()
{
    std::string_view rest = m_input;
    const auto previous_size = m_body.size();
    const auto state = m_decoder.decode(rest, m_body);
    m_input.erase(0, m_input.size() - rest.size());
    m_buffered_bytes += m_body.size() - previous_size;
    m_server.m_buffered_bytes += m_body.size() - previous_size;
    const bool is_invalid = state == http_body_decoder::state::malformed ||
                            state == http_body_decoder::state::oversized;
    if (is_invalid) {
        return HTTPResponse::HTTP_BAD_REQUEST;
    }
    if (m_body.size() > m_server.m_limits.max_body_bytes) {
        return HTTPResponse::HTTP_REQUEST_ENTITY_TOO_LARGE;
    }
    if (m_server.m_buffered_bytes > m_server.m_limits.max_buffered_bytes) {
        return HTTPResponse::HTTP_SERVICE_UNAVAILABLE;
    }
    return {};
}

void http_server_connection::receive_body(server_exchange& receiver)
{
    m_body_receiver = receiver.weak_from_this();
    m_last_progress = m_server.m_loop.time().steady_now();
    m_channel->pause(false);
    m_channel->send("HTTP/1.1 100 Continue\r\n\r\n");
    parse_deferred_body();
}

void http_server_connection::parse_deferred_body()
{
    const auto self = shared_from_this();
    m_last_progress = m_server.m_loop.time().steady_now();
    if (decode_body()) {
        fail_deferred_body();
        return;
    }
    const auto receiver = m_body_receiver.lock();
    if (m_decoder.current() == http_body_decoder::state::incomplete || !receiver) {
        return;
    }
    m_body_receiver.reset();
    m_is_body_pending = false;
    receiver->m_body = shared_body(std::move(m_body));
    receiver->m_has_body = true;
    m_body.clear();
    const auto on_received = std::move(receiver->m_on_body_received);
    on_received();
}

// The handler is notified as if the client had disconnected. No error response can be sent to the
// client, since a response may have begun.
void http_server_connection::fail_deferred_body()
{
    const auto callback = disconnected;
    end(false);
    if (callback) {
        callback();
    }
}

void http_server_connection::dispatch(bool has_body)
{
    enter(phase::responding);
    ++m_server.m_open_requests;
    m_is_body_pending = !has_body;
    auto exchange = std::make_shared<server_exchange>(shared_from_this(), std::move(m_head),
                                                      shared_body(std::move(m_body)), has_body);
    m_body.clear();
    m_server.m_on_request(std::move(exchange));
}

void http_server_connection::refuse(int status)
{
    http_response_head head;
    head.status = status;
    head.keep_alive = false;
    head.framing = {body_end::length, 0};
    if (status == HTTPResponse::HTTP_SERVICE_UNAVAILABLE) {
        head.fields.push_back({"Retry-After", "1"});
    }
    m_channel->send(http_head::write(head));
    end(true);
}

bool http_server_connection::must_close() const
{
    // The client may still send a deferred body, which would be read as the next request.
    return m_server.m_closing || m_is_body_pending;
}

void http_server_connection::on_response_finished(bool closes)
{
    if (m_phase != phase::responding) {
        return;
    }
    leave_responding();
    if (closes) {
        end(true);
        return;
    }
    enter(phase::idle);
    m_channel->pause(false);
    parse();
}

void http_server_connection::end(bool orderly)
{
    const auto self = shared_from_this();
    leave_responding();
    enter(phase::ended);
    if (orderly) {
        m_channel->close();
        if (m_channel->unsent() > 0) {
            m_server.m_closing_channels.push_back(m_channel);
        }
    }
    else {
        m_channel->reset();
    }
    m_server.m_connections.erase(self);
}

void http_server_connection::check_timeouts(steady_time now)
{
    const auto waited = now - m_last_progress;
    const auto& limits = m_server.m_limits;
    const auto idle_limit = m_server.m_closing ? closing_idle_time : m_server.idle_timeout(now);
    // Unread input may be a request that has just arrived; closing would lose it.
    if (m_phase == phase::idle && waited >= idle_limit && !m_channel->has_input()) {
        end(true);
    }
    if (!m_body_receiver.expired() && waited >= limits.body_timeout) {
        fail_deferred_body();
        return;
    }
    const bool has_timed_out = (m_phase == phase::head && waited >= limits.head_timeout) ||
                               (m_phase == phase::body && is_body_slow(now));
    if (has_timed_out) {
        refuse(HTTPResponse::HTTP_REQUEST_TIMEOUT);
    }
}

// Returns true when the client has paused for too long, or sends so slowly that its body would
// never be complete.
bool http_server_connection::is_body_slow(steady_time now) const
{
    const auto& limits = m_server.m_limits;
    const std::chrono::duration<double> elapsed = now - m_head_received_at - limits.idle_timeout;
    const double min_bytes = elapsed.count() * static_cast<double>(limits.min_body_rate);
    return now - m_last_progress >= limits.idle_timeout ||
           static_cast<double>(m_body.size()) < min_bytes;
}

void http_server_connection::enter(phase next)
{
    m_phase = next;
    m_last_progress = m_server.m_loop.time().steady_now();
    if (next == phase::ended) {
        release_buffer();
    }
}

void http_server_connection::leave_responding()
{
    if (m_phase != phase::responding) {
        return;
    }
    --m_server.m_open_requests;
    disconnected = nullptr;
    drained = nullptr;
    m_body_receiver.reset();
    m_is_body_pending = false;
    release_buffer();
}

void http_server_connection::release_buffer()
{
    m_server.m_buffered_bytes -= m_buffered_bytes;
    m_buffered_bytes = 0;
}

} // namespace galenaroad
