#include "relay/datagram_channel.h"

#include "net/ip_endpoint.h"

#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>
#include <array>

namespace galenaroad {

namespace {

// Messages read in one event loop callback, so that other events are not delayed.
constexpr int max_messages_per_wakeup = 16;

} // namespace

datagram_channel::~datagram_channel()
{
    if (m_is_listening) {
        m_loop.unwatch(m_socket);
    }
}

void datagram_channel::start(const std::string& listen_address)
{
    const auto address = ip_endpoint::parse(listen_address);
    if (!address) {
        return;
    }
    try {
        m_socket.bind(*address);
        m_socket.setBlocking(false);
    }
    catch (const Poco::Exception& error) {
        m_log.note_state("condition_news_off",
                         {{"address", listen_address}, {"error", error.displayText()}});
        return;
    }
    m_is_listening = true;
    m_loop.watch(m_socket, socket_interest::read, [this](auto) { receive(); });
}

bool datagram_channel::send(const std::string& address, std::string_view bytes)
{
    const auto target = ip_endpoint::parse(address);
    if (!m_is_listening || !target || bytes.size() > max_bytes) {
        return false;
    }
    try {
        m_socket.sendTo(bytes.data(), static_cast<int>(bytes.size()), *target);
        return true;
    }
    catch (const Poco::Exception&) {
        return false;
    }
}

void datagram_channel::receive()
{
    std::array<char, max_bytes> buffer{};
    for (int count = 0; count < max_messages_per_wakeup; ++count) {
        try {
            Poco::Net::SocketAddress sender;
            const int size =
                m_socket.receiveFrom(buffer.data(), static_cast<int>(buffer.size()), sender);
            if (size < 0) {
                return;
            }
            dispatch({buffer.data(), static_cast<std::size_t>(size)}, sender.toString());
        }
        catch (const Poco::Exception&) {
            return; // No datagram is left to read.
        }
    }
}

void datagram_channel::dispatch(std::string_view bytes, const std::string& sender)
{
    const auto found = bytes.empty() ? m_receivers.end() : m_receivers.find(bytes.front());
    const auto& receiver = found == m_receivers.end() ? m_other_receiver : found->second;
    if (receiver) {
        receiver(bytes, sender);
    }
}

} // namespace galenaroad
