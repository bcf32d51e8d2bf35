#pragma once

#include "net/event_loop.h"
#include "telemetry/decision_log.h"

#include <Poco/Net/DatagramSocket.h>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace galenaroad {

/// The UDP socket of a daemon for messages to other daemons. Messages may be lost or repeated.
class datagram_channel {
public:
    /// Maximum size of a message that is sent or read, in bytes.
    static constexpr std::size_t max_bytes = 1400;

    /// Called with a message and the address of its sender.
    using receiver = std::function<void(std::string_view bytes, const std::string& sender)>;

    /// @param loop the event loop; must outlive the channel.
    /// @param log for a port that is not available.
    datagram_channel(event_loop& loop, decision_log& log) : m_loop(loop), m_log(log) {}
    datagram_channel(const datagram_channel&) = delete;
    datagram_channel& operator=(const datagram_channel&) = delete;
    datagram_channel(datagram_channel&&) = delete;
    datagram_channel& operator=(datagram_channel&&) = delete;
    ~datagram_channel();

    /// Sets the receiver of the messages that begin with a byte.
    void on_message(char type, receiver receiver) { m_receivers[type] = std::move(receiver); }

    /// Sets the receiver of all other messages.
    void on_other_message(receiver receiver) { m_other_receiver = std::move(receiver); }

    /// Starts to listen. When the address is invalid or cannot be bound, messages are neither sent
    /// nor received.
    /// @param listen_address IP address and port.
    void start(const std::string& listen_address);

    /// @return whether messages can be sent and received.
    bool is_listening() const { return m_is_listening; }

    /// Sends a message.
    /// @param address IP address and port of the receiver.
    /// @return false when it could not be sent.
    bool send(const std::string& address, std::string_view bytes);

private:
    void receive();
    void dispatch(std::string_view bytes, const std::string& sender);

    event_loop& m_loop;
    decision_log& m_log;
    Poco::Net::DatagramSocket m_socket;
    std::map<char, receiver> m_receivers;
    receiver m_other_receiver;
    bool m_is_listening = false;
};

} // namespace galenaroad
