#include "net/http_client.h"

#include <algorithm>

namespace galenaroad {

namespace {

using namespace std::chrono_literals;

// A body up to this size is sent together with its head in one write. A larger body is sent in
// parts of this size, so that it is not copied whole into the output buffer of the connection.
constexpr std::size_t body_part_bytes = std::size_t{64} * 1024;

// Longer announced idle timeouts make no difference, and a faulty server may announce any number.
constexpr std::uint64_t max_keep_alive_s = 3600;

// Returns the idle timeout that the server announces in `Keep-Alive: timeout=N`, or zero.
std::chrono::milliseconds announced_keep_alive(const header_list& fields)
{
    constexpr std::string_view parameter = "timeout=";
    const auto value = http_head::find(fields, "Keep-Alive").value_or("");
    const auto at = value.find(parameter);
    if (at == std::string_view::npos) {
        return 0ms;
    }
    const auto text = value.substr(at + parameter.size());
    const auto seconds =
        http_head::parse_number(text.substr(0, text.find_first_not_of("0123456789")));
    return std::chrono::seconds(std::min(seconds.value_or(0), max_keep_alive_s));
}

} // namespace

std::string_view exchange_error_name(exchange_error error)
{
    switch (error) {
    case exchange_error::not_connected:
        return "not_connected";
    case exchange_error::refused:
        return "refused";
    case exchange_error::no_response:
        return "no_response";
    case exchange_error::incomplete:
        return "incomplete";
    case exchange_error::malformed:
        return "malformed";
    case exchange_error::oversized:
        return "oversized";
    case exchange_error::timed_out:
        break;
    }
    return "timed_out";
}

bool was_sent(exchange_error error)
{
    return error != exchange_error::not_connected && error != exchange_error::refused;
}

http_exchange::http_exchange(http_client& client, std::string address, client_request request,
                             client_hooks callbacks)
    : m_client(client),
      m_address(std::move(address)),
      m_request(std::move(request)),
      m_hooks(std::move(callbacks))
{
}

http_exchange::~http_exchange()
{
    cancel();
}

void http_exchange::cancel()
{
    if (m_done) {
        return;
    }
    m_done = true;
    m_client.m_loop.cancel(m_limit_timer);
    if (m_channel) {
        m_channel->reset();
    }
}

void http_exchange::pause(bool paused)
{
    if (!m_done) {
        m_channel->pause(paused);
    }
}

void http_exchange::start(std::shared_ptr<byte_channel> channel, bool is_reused)
{
    m_channel = std::move(channel);
    m_reused = is_reused;
    const std::weak_ptr<http_exchange> weak = weak_from_this();
    byte_channel::hooks callbacks;
    callbacks.connected = [weak] {
        const auto self = weak.lock();
        if (self && self->m_hooks.connected) {
            self->m_hooks.connected();
        }
    };
    callbacks.received = [weak](std::string_view bytes) {
        if (const auto self = weak.lock()) {
            self->on_received(bytes);
        }
    };
    callbacks.drained = [weak] {
        if (const auto self = weak.lock()) {
            self->send_body();
        }
    };
    callbacks.ended = [weak](channel_end reason) {
        if (const auto self = weak.lock()) {
            self->on_ended(reason);
        }
    };
    m_channel->set_hooks(std::move(callbacks));
    if (m_request.time_limit > 0ms) {
        m_limit_timer = m_client.m_loop.after(m_request.time_limit, [weak] {
            const auto self = weak.lock();
            if (self && !self->m_done) {
                self->fail(exchange_error::timed_out);
            }
        });
    }
    send_request();
}

void http_exchange::send_request()
{
    auto& head = m_request.head;
    const auto& body = m_request.body.text();
    if (!body.empty() || head.method == "POST" || head.method == "PUT") {
        head.framing = {body_end::length, body.size()};
    }
    m_awaits_continue = m_request.expects_continue && !body.empty();
    if (m_awaits_continue) {
        http_head::set(head.fields, "Expect", "100-continue");
    }
    auto text = http_head::write(head);
    if (!m_awaits_continue && body.size() <= body_part_bytes) {
        text.append(body);
        m_body_sent = body.size();
    }
    m_channel->send(text);
    send_body();
}

void http_exchange::send_body()
{
    const std::string_view body = m_request.body.text();
    while (!m_awaits_continue && !has_sent_body() && m_channel->unsent() == 0) {
        const auto part = body.substr(m_body_sent, body_part_bytes);
        m_body_sent += part.size();
        m_channel->send(part);
    }
}

bool http_exchange::has_sent_body() const
{
    return m_body_sent >= m_request.body.size();
}

void http_exchange::on_received(std::string_view bytes)
{
    const auto self = shared_from_this();
    m_input.append(bytes);
    while (!m_done) {
        if (!m_has_head && !read_head()) {
            return;
        }
        if (m_done) {
            return;
        }
        read_body();
        if (m_done || m_has_head) {
            return;
        }
    }
}

// Returns false when the head is not complete yet or the exchange has ended.
bool http_exchange::read_head()
{
    constexpr std::string_view head_end = "\r\n\r\n";
    constexpr int continue_status = 100;
    constexpr int switching_protocols_status = 101;
    constexpr int first_final_status = 200;
    const auto end = m_input.find(head_end);
    const auto size = end == std::string::npos ? m_input.size() : end + head_end.size();
    if (size > m_request.limits.max_head_bytes) {
        fail(exchange_error::oversized);
        return false;
    }
    if (end == std::string::npos) {
        return false;
    }
    auto read =
        http_head::read_response(std::string_view(m_input).substr(0, size), m_request.head.method);
    // No request asks for another protocol, so nothing is known of the bytes after 101.
    if (!read || read->status == switching_protocols_status) {
        fail(exchange_error::malformed);
        return false;
    }
    m_input.erase(0, size);
    m_head = std::move(*read);
    m_decoder = http_body_decoder(m_head.framing, m_request.limits);
    const bool is_final = m_head.status >= first_final_status;
    const auto match = is_final && m_request.match_response ? m_request.match_response(m_head)
                                                            : response_match::own;
    if (match == response_match::unknown) {
        fail(exchange_error::malformed);
        return false;
    }
    m_is_own_response = is_final && match == response_match::own;
    m_has_head = true;
    if (!m_is_own_response && !count_skipped(size)) {
        return false;
    }
    if (m_head.status == continue_status && m_awaits_continue) {
        m_awaits_continue = false;
        send_body();
    }
    if (m_head.status < first_final_status && m_hooks.interim) {
        m_hooks.interim();
    }
    if (m_is_own_response) {
        m_keep_alive = announced_keep_alive(m_head.fields);
        m_hooks.head(m_head);
    }
    return true;
}

void http_exchange::read_body()
{
    std::string payload;
    std::string_view rest = m_input;
    const auto state = m_decoder.decode(rest, payload);
    const auto consumed = m_input.size() - rest.size();
    m_input.erase(0, consumed);
    if (!m_is_own_response && !count_skipped(consumed)) {
        return;
    }
    if (m_is_own_response && !payload.empty()) {
        m_hooks.body(payload);
    }
    if (m_done) {
        return;
    }
    if (state == http_body_decoder::state::oversized) {
        fail(exchange_error::oversized);
        return;
    }
    if (state == http_body_decoder::state::malformed) {
        fail(m_is_own_response ? exchange_error::incomplete : exchange_error::malformed);
        return;
    }
    if (state != http_body_decoder::state::complete) {
        return;
    }
    if (m_is_own_response) {
        finish();
        return;
    }
    // This was an interim response or the response to an earlier request; the own one follows.
    m_has_head = false;
}

// Counts bytes that do not belong to the response of this request. Fails the exchange and returns
// false when the limit is exceeded.
bool http_exchange::count_skipped(std::size_t bytes)
{
    m_skipped_bytes += bytes;
    if (m_skipped_bytes <= m_request.limits.max_skipped_bytes) {
        return true;
    }
    fail(exchange_error::oversized);
    return false;
}

void http_exchange::on_ended(channel_end reason)
{
    const auto self = shared_from_this();
    if (m_done) {
        return;
    }
    if (reason == channel_end::not_connected || reason == channel_end::refused) {
        fail(reason == channel_end::refused ? exchange_error::refused
                                            : exchange_error::not_connected);
        return;
    }
    if (!m_has_head || !m_is_own_response) {
        fail(exchange_error::no_response);
        return;
    }
    const bool is_complete = reason == channel_end::closed &&
                             m_decoder.state_at_close() == http_body_decoder::state::complete;
    if (is_complete) {
        finish();
        return;
    }
    fail(exchange_error::incomplete);
}

void http_exchange::finish()
{
    m_done = true;
    m_client.m_loop.cancel(m_limit_timer);
    // The connection is not reused when bytes follow the response, since they belong to no request,
    // or when the body was not sent completely: the server would read the next request as the rest
    // of the body.
    const bool is_reusable = m_input.empty() && has_sent_body() && m_channel->unsent() == 0;
    if (m_head.keep_alive && is_reusable) {
        m_channel->pause(false);
        m_client.add_idle(m_address, std::move(m_channel), m_keep_alive);
    }
    else {
        m_channel->reset();
    }
    m_hooks.complete();
}

void http_exchange::fail(exchange_error error)
{
    m_done = true;
    m_client.m_loop.cancel(m_limit_timer);
    m_channel->reset();
    m_hooks.failed(error);
}

http_client::http_client(event_loop& loop) : m_loop(loop) {}

std::shared_ptr<http_exchange> http_client::send(const std::string& address, client_request request,
                                                 client_hooks callbacks)
{
    auto channel = take_idle(address, request.max_idle);
    const bool is_reused = channel != nullptr;
    if (!is_reused) {
        ++m_opened;
        channel = byte_channel::connect(m_loop, address, request.connect_timeout);
        channel->enable_keepalive();
    }
    auto result =
        std::make_shared<http_exchange>(*this, address, std::move(request), std::move(callbacks));
    result->start(std::move(channel), is_reused);
    return result;
}

void http_client::close_idle(const std::string& address)
{
    const auto found = m_idle.find(address);
    if (found == m_idle.end()) {
        return;
    }
    for (const auto& each : found->second) {
        each.channel->reset();
    }
    m_idle.erase(found);
}

std::shared_ptr<byte_channel> http_client::take_idle(const std::string& address,
                                                     std::chrono::milliseconds max_idle)
{
    const auto found = m_idle.find(address);
    if (found == m_idle.end()) {
        return nullptr;
    }
    const auto now = m_loop.time().steady_now();
    auto& list = found->second;
    while (!list.empty()) {
        auto latest = std::move(list.back());
        list.pop_back();
        // The connection is reused only well before the announced timeout: the server may close it
        // at that time while a request is in flight.
        const auto limit =
            latest.keep_alive > 0ms ? std::min(max_idle, latest.keep_alive * 3 / 5) : max_idle;
        if (now - latest.since < limit) {
            return latest.channel;
        }
        latest.channel->reset();
    }
    return nullptr;
}

void http_client::add_idle(const std::string& address, std::shared_ptr<byte_channel> channel,
                           std::chrono::milliseconds keep_alive)
{
    auto& list = m_idle[address];
    if (list.size() >= max_idle_connections) {
        list.front().channel->reset();
        list.erase(list.begin());
    }
    byte_channel::hooks callbacks;
    const auto* const key = channel.get();
    // Input on an idle connection belongs to no request, and a closed connection cannot be reused.
    callbacks.received = [this, address, key](std::string_view) { remove_idle(address, key); };
    callbacks.ended = [this, address, key](channel_end) { remove_idle(address, key); };
    channel->set_hooks(std::move(callbacks));
    list.push_back({std::move(channel), m_loop.time().steady_now(), keep_alive});
}

void http_client::remove_idle(const std::string& address, const byte_channel* channel)
{
    auto& list = m_idle[address];
    const auto found = std::find_if(
        list.begin(), list.end(), [&](const auto& each) { return each.channel.get() == channel; });
    if (found == list.end()) {
        return;
    }
    const auto removed = found->channel;
    list.erase(found);
    removed->reset();
}

} // namespace galenaroad
