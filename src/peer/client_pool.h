#pragma once

#include "peer.grpc.pb.h"

#include <chrono>
#include <cstddef>
#include <grpcpp/channel.h>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace galenaroad {

/// A channel to another daemon with the stub that uses it.
struct peer_client {
    std::string address;
    std::shared_ptr<grpc::Channel> channel;
    std::shared_ptr<peer::Peer::Stub> stub;

    /// Waits until the channel is connected. Nothing has been sent when it fails.
    /// @param timeout the longest wait.
    /// @return true when the channel is connected.
    bool connect(std::chrono::milliseconds timeout) const;
};

/// Keeps one channel per peer address. Thread-safe.
class client_pool {
public:
    /// @param max_channels channels to keep; the least recently used one is dropped beyond that.
    explicit client_pool(std::size_t max_channels);

    /// Finds or creates the channel to a daemon.
    /// @param address IP address and port of its gRPC listener.
    /// @return the client; usable after the pool has dropped it.
    std::shared_ptr<const peer_client> client(const std::string& address);

    /// Drops a channel that has gone silent, so that the next call opens a new connection.
    /// @param failed the client; ignored when the pool already holds a newer one.
    void discard(const std::shared_ptr<const peer_client>& failed);

private:
    struct entry {
        std::shared_ptr<const peer_client> client;
        std::uint64_t last_use = 0;
    };

    void drop_least_recently_used();

    std::size_t m_max_channels;
    std::mutex m_mutex;
    std::uint64_t m_uses = 0;
    std::map<std::string, entry> m_entries;
};

} // namespace galenaroad
