#pragma once

#include "base/result.h"

#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/ThreadPool.h>
#include <memory>
#include <string>

namespace galenaroad {

/// Bounds of an HTTP listener.
struct listener_limits {
    int threads = 64;                 ///< Connections served at the same time.
    int max_queued_connections = 256; ///< Accepted connections that wait for a thread.
};

/// HTTP server with a bounded number of threads with small stacks.
class http_listener {
public:
    /// Handlers keep their buffers on the heap; the default stack of 8 MiB would only reserve
    /// address space.
    static constexpr int stack_bytes = 256 * 1024;
    /// An idle connection holds a thread; it is closed after this time.
    static constexpr int keep_alive_seconds = 15;
    /// Time in which the head of a request must arrive after its first byte.
    static constexpr int head_timeout_seconds = 5;

    /// @param factory makes a handler for each request; owned by the server.
    /// @param limits the bounds.
    http_listener(Poco::Net::HTTPRequestHandlerFactory::Ptr factory, listener_limits limits);

    /// Starts to listen.
    /// @param address IP address and port; port 0 picks a free one.
    /// @return the bound address, or `settings_invalid` when the address cannot be bound.
    result<std::string> start(const std::string& address);

    /// Stops to accept connections, ends idle ones and waits for running requests.
    void stop();

private:
    Poco::Net::HTTPRequestHandlerFactory::Ptr m_factory;
    listener_limits m_limits;
    Poco::ThreadPool m_threads;
    std::unique_ptr<Poco::Net::HTTPServer> m_server;
};

} // namespace galenaroad
