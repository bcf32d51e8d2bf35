#pragma once

#include "net/event_loop.h"

#include <Poco/Net/StreamSocket.h>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace galenaroad {

/// How a channel ended.
enum class channel_end {
    not_connected, ///< The connection was never established; nothing was sent.
    refused,       ///< As not_connected, since no process listens at the address.
    closed,        ///< The other end closed it in an orderly way.
    failed,        ///< It was reset or timed out.
};

/// Non-blocking byte stream over TCP, driven by an event loop.
class byte_channel : public std::enable_shared_from_this<byte_channel> {
public:
    /// Reactions of the channel's user. No hook is called after close() or reset().
    struct hooks {
        std::function<void()> connected;
        std::function<void(std::string_view)> received;
        std::function<void()> drained; ///< All bytes given to send() have left.
        std::function<void(channel_end)> ended;
    };

    /// Takes over an accepted connection.
    /// @param loop the loop; must outlive the channel.
    /// @param socket the connection.
    static std::shared_ptr<byte_channel> accept(event_loop& loop,
                                                const Poco::Net::StreamSocket& socket);

    /// Opens a connection. Failures are reported by the `ended` hook, never from within the call.
    /// @param loop the loop; must outlive the channel.
    /// @param address IP address and port.
    /// @param timeout the longest time for the connection to be established.
    static std::shared_ptr<byte_channel> connect(event_loop& loop, const std::string& address,
                                                 std::chrono::milliseconds timeout);

    byte_channel(event_loop& loop, const Poco::Net::StreamSocket& socket);
    byte_channel(const byte_channel&) = delete;
    byte_channel& operator=(const byte_channel&) = delete;
    byte_channel(byte_channel&&) = delete;
    byte_channel& operator=(byte_channel&&) = delete;
    ~byte_channel();

    /// Replaces the hooks.
    void set_hooks(hooks callbacks);

    /// Sends bytes, after those sent before; keeps what the connection does not take at once.
    void send(std::string_view bytes);

    /// Stops or resumes reading. The end of the connection is still noticed after a reset.
    void pause(bool paused);

    /// Sends what is kept, then ends the connection in an orderly way: input is read and dropped
    /// for a moment, since closing with unread input would reset the connection and lose output.
    void close();

    /// Ends the connection at once; the other end sees that it failed.
    void reset();

    /// Lets the system probe the connection while it is silent, so that one that was lost without
    /// notice fails within seconds.
    void enable_keepalive();

    /// @return true when bytes have arrived that were not read yet.
    bool has_input() const;

    /// @return bytes that wait to be sent.
    std::size_t unsent() const { return m_output.size() - m_sent; }

    /// @return IP address of the other end.
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
    int m_stalled_periods = 0; ///< Linger times in a row in which no byte was taken.
    bool m_paused = false;
    bool m_shut_down = false;
    event_loop::timer_id m_timer = event_loop::no_timer;
};

} // namespace galenaroad
