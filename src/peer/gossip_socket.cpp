#include "peer/gossip_socket.h"

#include "base/error_kind.h"
#include "peer.pb.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Timespan.h>
#include <vector>

namespace galenaroad {

namespace {

constexpr std::size_t max_datagram_bytes = 65'507;
constexpr long poll_microseconds = 100'000;
// A burst after a region reconnects must not be lost in the default buffer of about 200 KB.
constexpr int receive_buffer_bytes = 1 << 20;

} // namespace

gossip_socket::~gossip_socket()
{
    stop();
}

std::error_code gossip_socket::start(const std::string& address, handler received)
{
    try {
        m_socket.bind(Poco::Net::SocketAddress(address), false);
        m_socket.setReceiveBufferSize(receive_buffer_bytes);
    }
    catch (const Poco::Exception&) {
        return make_error_code(error_kind::settings_invalid);
    }
    m_received = std::move(received);
    m_thread = std::thread([this] { run(); });
    return {};
}

std::size_t gossip_socket::send(const std::string& address, const peer::GossipMessage& message)
{
    const auto bytes = message.SerializeAsString();
    try {
        const Poco::Net::SocketAddress target(address);
        m_socket.sendTo(bytes.data(), static_cast<int>(bytes.size()), target);
    }
    catch (const Poco::Exception&) {
        return 0;
    }
    return bytes.size();
}

void gossip_socket::stop()
{
    m_stopping = true;
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

void gossip_socket::run()
{
    std::vector<char> buffer(max_datagram_bytes);
    peer::GossipMessage message;
    while (!m_stopping) {
        try {
            if (!m_socket.poll(Poco::Timespan(poll_microseconds), Poco::Net::Socket::SELECT_READ)) {
                continue;
            }
            Poco::Net::SocketAddress sender;
            const int size =
                m_socket.receiveFrom(buffer.data(), static_cast<int>(buffer.size()), sender);
            m_received_bytes += static_cast<std::uint64_t>(size);
            if (message.ParseFromArray(buffer.data(), size)) {
                m_received(message);
            }
        }
        catch (const Poco::Exception&) {
            // An unreachable port of an earlier receiver is reported here and concerns no message.
            continue;
        }
    }
}

} // namespace galenaroad
