#include "net/byte_channel.h"

#include "net/ip_endpoint.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <array>
#include <cerrno>
#include <netinet/in.h>
#include <netinet/tcp.h>

namespace galenaroad {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t read_buffer_bytes = std::size_t{16} * 1024;
// Limits the reads per event, so that one fast sender does not starve the other sockets.
constexpr int reads_per_event = 4;
// How long a closing channel waits for the peer to close, and the period after which it checks
// whether the peer still accepts bytes.
constexpr auto linger_time = 1s;
// The unsent bytes are dropped after more than this many consecutive linger periods without
// progress.
constexpr int max_stalled_periods = 4;
constexpr int keepalive_idle_seconds = 1;
constexpr int keepalive_interval_seconds = 1;
constexpr int keepalive_probes = 2;

} // namespace

std::shared_ptr<byte_channel> byte_channel::accept(event_loop& loop,
                                                   const Poco::Net::StreamSocket& socket)
{
    auto result = std::make_shared<byte_channel>(loop, socket);
    result->m_peer_host = socket.peerAddress().host().toString();
    result->start(phase::open);
    return result;
}

std::shared_ptr<byte_channel> byte_channel::connect(event_loop& loop, const std::string& address,
                                                    std::chrono::milliseconds timeout)
{
    const auto target = ip_endpoint::parse(address);
    const auto family = target ? target->family() : Poco::Net::SocketAddress::IPv4;
    auto result = std::make_shared<byte_channel>(loop, Poco::Net::StreamSocket(family));
    const std::weak_ptr<byte_channel> weak = result;
    const auto fail = [weak] {
        if (const auto channel = weak.lock()) {
            channel->end(channel_end::not_connected);
        }
    };
    if (!target) {
        result->m_timer = loop.after(0ms, fail);
        return result;
    }
    result->m_peer_host = target->host().toString();
    try {
        result->m_socket.connectNB(*target);
    }
    catch (const Poco::Exception&) {
        result->m_timer = loop.after(0ms, fail);
        return result;
    }
    result->start(phase::connecting);
    result->m_timer = loop.after(timeout, fail);
    return result;
}

byte_channel::byte_channel(event_loop& loop, const Poco::Net::StreamSocket& socket)
    : m_loop(loop), m_socket(socket)
{
}

byte_channel::~byte_channel()
{
    release();
}

void byte_channel::start(phase initial)
{
    m_phase = initial;
    m_socket.setBlocking(false);
    m_socket.setNoDelay(true);
    const bool is_connecting = initial == phase::connecting;
    const std::weak_ptr<byte_channel> weak = weak_from_this();
    m_loop.watch(m_socket, is_connecting ? socket_interest::write : socket_interest::read,
                 [weak](socket_readiness ready) {
                     if (const auto channel = weak.lock()) {
                         channel->on_ready(ready);
                     }
                 });
}

void byte_channel::set_hooks(hooks callbacks)
{
    m_hooks = std::make_shared<hooks>(std::move(callbacks));
}

void byte_channel::send(std::string_view bytes)
{
    if (m_phase == phase::closing || m_phase == phase::ended) {
        return;
    }
    m_output.append(bytes);
    if (m_phase == phase::open) {
        flush();
    }
}

void byte_channel::pause(bool paused)
{
    if (m_paused == paused) {
        return;
    }
    m_paused = paused;
    update_interest();
}

void byte_channel::close()
{
    if (m_phase == phase::connecting || m_phase == phase::ended) {
        reset();
        return;
    }
    set_hooks({});
    m_phase = phase::closing;
    m_paused = false;
    m_loop.cancel(m_timer);
    linger();
    flush();
}

// The timer keeps the channel alive until the peer has closed the connection or accepts no more
// bytes.
void byte_channel::linger()
{
    m_timer = m_loop.after(linger_time, [self = shared_from_this(), unsent_before = unsent()] {
        const bool has_progress = self->unsent() < unsent_before;
        self->m_stalled_periods = has_progress ? 0 : self->m_stalled_periods + 1;
        const int allowed = self->unsent() > 0 ? max_stalled_periods : 0;
        if (self->m_stalled_periods > allowed) {
            self->release();
            return;
        }
        self->linger();
    });
}

void byte_channel::reset()
{
    set_hooks({});
    if (m_phase == phase::ended) {
        return;
    }
    try {
        m_socket.setLinger(true, 0);
    }
    catch (const Poco::Exception&) {
        // The socket has already failed, so closing it has the same effect.
        release();
        return;
    }
    release();
}

bool byte_channel::has_input() const
{
    if (m_phase != phase::open) {
        return false;
    }
    try {
        return m_socket.available() > 0;
    }
    catch (const Poco::Exception&) {
        // The event loop reports the failure.
        return false;
    }
}

void byte_channel::enable_keepalive()
{
    try {
        m_socket.setKeepAlive(true);
        m_socket.setOption(IPPROTO_TCP, TCP_KEEPIDLE, keepalive_idle_seconds);
        m_socket.setOption(IPPROTO_TCP, TCP_KEEPINTVL, keepalive_interval_seconds);
        m_socket.setOption(IPPROTO_TCP, TCP_KEEPCNT, keepalive_probes);
    }
    catch (const Poco::Exception&) {
        // Without keep-alive probes, the timeouts of the exchanges still apply.
        return;
    }
}

void byte_channel::on_ready(socket_readiness ready)
{
    const auto self = shared_from_this();
    if (m_phase == phase::connecting) {
        on_connected();
        return;
    }
    if (ready.writable) {
        flush_and_notify();
    }
    if (ready.readable && m_phase != phase::ended) {
        read_some();
    }
}

void byte_channel::on_connected()
{
    int error = 0;
    try {
        m_socket.getOption(SOL_SOCKET, SO_ERROR, error);
    }
    catch (const Poco::Exception&) {
        error = -1;
    }
    if (error != 0) {
        end(error == ECONNREFUSED ? channel_end::refused : channel_end::not_connected);
        return;
    }
    m_loop.cancel(m_timer);
    m_phase = phase::open;
    update_interest();
    const auto callbacks = current_hooks();
    if (callbacks->connected) {
        callbacks->connected();
    }
    if (m_phase == phase::open) {
        flush_and_notify();
    }
}

void byte_channel::read_some()
{
    std::array<char, read_buffer_bytes> buffer; // NOLINT(cppcoreguidelines-pro-type-member-init)
    for (int round = 0; round < reads_per_event; ++round) {
        int received = 0;
        try {
            received = m_socket.receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
        }
        catch (const Poco::Exception&) {
            end(channel_end::failed);
            return;
        }
        if (received < 0) {
            return;
        }
        if (received == 0) {
            // A failed write has consumed the error of the socket, which then reads like one that
            // the peer has closed.
            end(m_write_failed ? channel_end::failed : channel_end::closed);
            return;
        }
        const auto callbacks = current_hooks();
        if (callbacks->received) {
            callbacks->received({buffer.data(), static_cast<std::size_t>(received)});
        }
        if (m_phase == phase::ended || m_paused) {
            return;
        }
    }
}

void byte_channel::flush_and_notify()
{
    const bool had_output = unsent() > 0;
    flush();
    const auto callbacks = current_hooks();
    if (had_output && unsent() == 0 && callbacks->drained) {
        callbacks->drained();
    }
}

void byte_channel::flush()
{
    try {
        flush_or_throw();
    }
    catch (const Poco::Exception&) {
        m_write_failed = true;
        // The failure is reported from the event loop: the caller of send() may not be ready yet
        // for the `ended` callback.
        const std::weak_ptr<byte_channel> weak = weak_from_this();
        m_loop.after(0ms, [weak] {
            if (const auto channel = weak.lock()) {
                channel->end(channel_end::failed);
            }
        });
    }
}

// POCO throws an exception when the send buffer is full.
int byte_channel::send_some()
{
    try {
        return m_socket.sendBytes(m_output.data() + m_sent, static_cast<int>(unsent()));
    }
    catch (const Poco::Exception& error) {
        if (error.code() == EAGAIN || error.code() == EWOULDBLOCK) {
            return 0;
        }
        throw;
    }
}

void byte_channel::flush_or_throw()
{
    while (unsent() > 0) {
        const int sent = send_some();
        if (sent <= 0) {
            break;
        }
        m_sent += static_cast<std::size_t>(sent);
    }
    if (unsent() == 0) {
        m_output.clear();
        m_sent = 0;
    }
    update_interest();
    if (m_phase == phase::closing && unsent() == 0) {
        finish_closing();
    }
}

void byte_channel::finish_closing()
{
    if (!m_shut_down) {
        m_shut_down = true;
        m_socket.shutdownSend();
    }
}

void byte_channel::end(channel_end reason)
{
    if (m_phase == phase::ended) {
        return;
    }
    const auto self = shared_from_this();
    const auto callbacks = current_hooks();
    release();
    if (callbacks->ended) {
        callbacks->ended(reason);
    }
}

void byte_channel::release()
{
    if (m_phase == phase::ended) {
        return;
    }
    m_phase = phase::ended;
    m_loop.cancel(m_timer);
    m_loop.unwatch(m_socket);
    m_socket.close();
}

void byte_channel::update_interest()
{
    if (m_phase != phase::open && m_phase != phase::closing) {
        return;
    }
    if (unsent() > 0) {
        m_loop.set_interest(m_socket,
                            m_paused ? socket_interest::write : socket_interest::read_write);
        return;
    }
    m_loop.set_interest(m_socket, m_paused ? socket_interest::none : socket_interest::read);
}

} // namespace galenaroad
