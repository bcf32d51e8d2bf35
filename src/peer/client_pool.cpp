#include "peer/client_pool.h"

#include "peer/channel_security.h"
#include "peer/peer_limits.h"

#include <algorithm>
#include <grpcpp/create_channel.h>
#include <grpcpp/support/channel_arguments.h>

namespace galenaroad {

namespace {

std::shared_ptr<grpc::Channel> open_channel(const std::string& address)
{
    grpc::ChannelArguments arguments;
    // Channels with equal arguments share connections unless each has its own pool; a replaced
    // channel must open a new connection.
    arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
    // A retry inside the library could start an attempt twice.
    arguments.SetInt(GRPC_ARG_ENABLE_RETRIES, 0);
    arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
    // The window estimate grows buffers to several megabytes; the chunk size bounds them instead.
    arguments.SetInt(GRPC_ARG_HTTP2_BDP_PROBE, 0);
    arguments.SetInt(GRPC_ARG_KEEPALIVE_TIME_MS, static_cast<int>(peer_keepalive_interval.count()));
    arguments.SetInt(GRPC_ARG_KEEPALIVE_TIMEOUT_MS,
                     static_cast<int>(peer_keepalive_timeout.count()));
    arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, 100);
    arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, 1000);
    arguments.SetMaxReceiveMessageSize(max_peer_message_bytes);
    return grpc::CreateCustomChannel("ipv4:" + address, channel_security::client(), arguments);
}

} // namespace

bool peer_client::connect(std::chrono::milliseconds timeout) const
{
    if (channel->GetState(true) == GRPC_CHANNEL_READY) {
        return true;
    }
    return channel->WaitForConnected(std::chrono::system_clock::now() + timeout);
}

client_pool::client_pool(std::size_t max_channels) : m_max_channels(max_channels) {}

std::shared_ptr<const peer_client> client_pool::client(const std::string& address)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    auto& found = m_entries[address];
    found.last_use = ++m_uses;
    if (!found.client) {
        auto channel = open_channel(address);
        std::shared_ptr<peer::Peer::Stub> stub = peer::Peer::NewStub(channel);
        found.client = std::make_shared<peer_client>(peer_client{address, channel, stub});
    }
    auto client = found.client;
    if (m_entries.size() > m_max_channels) {
        drop_least_recently_used();
    }
    return client;
}

void client_pool::discard(const std::shared_ptr<const peer_client>& failed)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    const auto found = m_entries.find(failed->address);
    if (found != m_entries.end() && found->second.client == failed) {
        m_entries.erase(found);
    }
}

void client_pool::drop_least_recently_used()
{
    const auto oldest =
        std::min_element(m_entries.begin(), m_entries.end(), [](const auto& a, const auto& b) {
            return a.second.last_use < b.second.last_use;
        });
    m_entries.erase(oldest);
}

} // namespace galenaroad
