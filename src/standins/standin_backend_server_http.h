#pragma once

#include "standins/standin_backend_server_handler.h"

#include <Poco/Net/HTTPServer.h>
#include <Poco/ThreadPool.h>
#include <memory>
#include <string>

namespace galenaroad {

/// HTTP listener of a stand-in backend server, with its handler and faults.
class standin_backend_server_http {
public:
    /// Starts to listen.
    /// @param settings what the server is.
    /// @throws Poco::Exception when the address cannot be bound.
    explicit standin_backend_server_http(standin_backend_server_settings settings);
    standin_backend_server_http(const standin_backend_server_http&) = delete;
    standin_backend_server_http& operator=(const standin_backend_server_http&) = delete;
    standin_backend_server_http(standin_backend_server_http&&) = delete;
    standin_backend_server_http& operator=(standin_backend_server_http&&) = delete;
    ~standin_backend_server_http();

    /// @return the bound address.
    std::string address() const;

    /// @return the faults, which may be changed at any time.
    standin_backend_server_faults& faults() { return m_faults; }

    /// Waits until no work is in progress, then closes the listener.
    void drain();

private:
    const standin_backend_server_settings m_settings;
    standin_backend_server_faults m_faults;
    standin_backend_server_handler m_handler;
    Poco::ThreadPool m_threads;
    std::unique_ptr<Poco::Net::HTTPServer> m_server;
};

} // namespace galenaroad
