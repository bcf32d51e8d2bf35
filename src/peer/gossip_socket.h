#pragma once

#include "base/result.h"

#include <Poco/Net/DatagramSocket.h>
#include <atomic>
#include <functional>
#include <string>
#include <thread>

namespace galenaroad {

namespace peer {
class GossipMessage;
} // namespace peer

/// Sends and receives gossip messages as UDP datagrams.
///
/// Gossip reaches all daemons of the fleet in turn; a gRPC channel to each would cost a connection
/// per message. Lost datagrams are part of the membership protocol.
class gossip_socket {
public:
    using handler = std::function<void(const peer::GossipMessage&)>;

    gossip_socket() = default;
    gossip_socket(const gossip_socket&) = delete;
    gossip_socket& operator=(const gossip_socket&) = delete;
    gossip_socket(gossip_socket&&) = delete;
    gossip_socket& operator=(gossip_socket&&) = delete;
    ~gossip_socket();

    /// Binds the socket and starts to receive.
    /// @param address IP address and port.
    /// @param received called on the receiving thread for each valid message.
    /// @return a code of zero, or `settings_invalid` when the address cannot be bound.
    std::error_code start(const std::string& address, handler received);

    /// Sends a message. Errors are ignored, as a datagram may be lost anyway.
    /// @param address IP address and port of the receiver.
    /// @param message the message.
    /// @return the bytes sent.
    std::size_t send(const std::string& address, const peer::GossipMessage& message);

    /// Stops receiving.
    void stop();

    /// @return the bytes received so far.
    std::uint64_t received_bytes() const { return m_received_bytes.load(); }

private:
    void run();

    Poco::Net::DatagramSocket m_socket;
    handler m_received;
    std::atomic<std::uint64_t> m_received_bytes{0};
    std::atomic<bool> m_stopping{false};
    std::thread m_thread;
};

} // namespace galenaroad
