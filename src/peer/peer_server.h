#pragma once

#include "base/result.h"
#include "peer/peer_service.h"

#include <chrono>
#include <grpcpp/server.h>
#include <memory>
#include <string>

namespace galenaroad {

/// Listener for the calls of other daemons.
class peer_server {
public:
    /// @param handlers the hooks that handle the calls.
    /// @param max_threads threads of the listener; further calls are rejected by the library.
    peer_server(peer_handlers handlers, int max_threads);

    /// Starts to listen.
    /// @param address IP address and port; port 0 picks a free one.
    /// @return the bound address, or `settings_invalid` when the address cannot be bound.
    result<std::string> start(const std::string& address);

    /// Stops to listen; calls in flight are cancelled after the grace period.
    /// @param grace the grace period.
    void stop(std::chrono::milliseconds grace);

private:
    peer_service m_service;
    int m_max_threads;
    std::unique_ptr<grpc::Server> m_server;
};

} // namespace galenaroad
