#pragma once

#include "net/event_loop.h"

#include <Poco/Net/StreamSocket.h>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace galenaroad {

/// Why a channel ended.
enum class channel_end {
    not_connected, ///< The connection was never established; nothing was sent.
    refused,       ///< Like not_connected: no process listens at the address.
    closed,        ///< The peer closed the connection with a FIN.
    failed,        ///< The connection was reset or timed out.
};

/// Non-blocking byte stream over TCP, driven by an event loop.
class byte_channel : public std::enable_shared_from_this<byte_channel> {
public:
    /// Callbacks of the channel's user. None is called after close() or reset().
    struct hooks {
        std::function<void()> connected;
        std::function<void(std::string_view)> received;
        std::function<void()> drained; ///< All bytes passed to send() have been sent.
        std::function<void(channel_end)> ended;
    };

    /// Creates a channel for an accepted connection.
    /// @param loop the loop; must outlive the channel.
    /// @param socket the connection.
    static std::shared_ptr<byte_channel> accept(event_loop& loop,
                                                const Poco::Net::StreamSocket& socket);

    /// Opens a connection. Failures are reported by the `ended` callback, never from within the
    /// call.
    /// @param loop the loop; must outlive the channel.
    /// @param address IP address and port.
    /// @param timeout maximum time to establish the connection.
    static std::shared_ptr<byte_channel> connect(event_loop& loop, const std::string& address,
                                                 std::chrono::milliseconds timeout);

    byte_channel(event_loop& loop, const Poco::Net::StreamSocket& socket);
    byte_channel(const byte_channel&) = delete;
    byte_channel& operator=(const byte_channel&) = delete;
    byte_channel(byte_channel&&) = delete;
    byte_channel& operator=(byte_channel&&) = delete;
    ~byte_channel();

    /// Replaces the callbacks.
    void set_hooks(hooks callbacks);

    /// Sends bytes after those sent before. Bytes that the socket does not accept at once are
    /// buffered.
    void send(std::string_view bytes);

    /// Stops or resumes reading. A reset of the connection is detected while reading is paused.
    void pause(bool paused);

    /// Sends the buffered bytes, shuts down the sending direction and closes the connection.
    /// Input is read and discarded for a short time first: closing a socket with unread input
    /// would reset the connection, and the peer could lose output.
    void close();

    /// Resets the connection at once (RST), so that the peer sees a failure.
    void reset();

    /// Enables TCP keep-alive, so that an idle connection that was lost without a FIN or RST fails
    /// within seconds.
    void enable_keepalive();

    /// @return true when the socket has input that has not been read yet.
    bool has_input() const;

    /// @return number of buffered bytes that have not been sent yet.
    std::size_t unsent() const { return m_output.size() - m_sent; }

    /// @return IP address of the peer.
    const std::string& peer_host() const { return m_peer_host; }

private:
    enum class phase { connecting, open, closing, ended };

    void start(phase initial);
    void on_ready(socket_readiness ready);
    void on_connected();
    void read_some();
    void flush_and_notify();
    void flush();
    void flush_or_throw();
    int send_some();
    void end(channel_end reason);
    void finish_closing();
    void linger();
    void release();
    void update_interest();
    std::shared_ptr<hooks> current_hooks() const { return m_hooks; }

    event_loop& m_loop;
    Poco::Net::StreamSocket m_socket;
    std::shared_ptr<hooks> m_hooks = std::make_shared<hooks>();
    std::string m_peer_host;
    std::string m_output;
    std::size_t m_sent = 0;
    phase m_phase = phase::connecting;
    int m_stalled_periods = 0; ///< Consecutive linger periods without a byte sent.
    bool m_paused = false;
    bool m_shut_down = false;
    bool m_write_failed = false; ///< The error of the socket has been read with the failure.
    event_loop::timer_id m_timer = event_loop::no_timer;
};

} // namespace galenaroad
