#pragma once

#include "standins/standin_store_faults.h"

#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/ThreadPool.h>

#include <functional>
#include <memory>
#include <string>

namespace galenaroad {

/// HTTP server of a stand-in store. It answers `/_faults` and `/_counters` itself and passes all
/// other requests to the store's handler.
class standin_store_server {
public:
    using handler =
        std::function<void(Poco::Net::HTTPServerRequest&, Poco::Net::HTTPServerResponse&)>;

    /// Starts to serve.
    /// @param address IP number and port to listen on; port 0 takes any free port.
    /// @param faults the store's faults; must outlive the server.
    /// @param handle_store answers requests to the store.
    standin_store_server(const std::string& address, standin_store_faults& faults,
                         handler handle_store);
    standin_store_server(const standin_store_server&) = delete;
    standin_store_server& operator=(const standin_store_server&) = delete;
    standin_store_server(standin_store_server&&) = delete;
    standin_store_server& operator=(standin_store_server&&) = delete;
    ~standin_store_server();

    /// @return the bound address, as IP number and port.
    std::string address() const;

    /// @return the bound port.
    std::uint16_t port() const;

    /// Closes the connection of a request without a response, as a store does that loses it.
    /// @param request the request.
    static void drop_connection(Poco::Net::HTTPServerRequest& request);

    /// Runs a stand-in program: reads its arguments, serves and waits for SIGTERM or SIGINT.
    /// @param argc number of arguments.
    /// @param argv arguments: `--address`, `--addresses-file`.
    /// @param faults the store's faults.
    /// @param handle_store answers requests to the store.
    /// @return the exit code.
    static int run_program(int argc, char** argv, standin_store_faults& faults,
                           handler handle_store);

private:
    Poco::ThreadPool m_threads;
    std::unique_ptr<Poco::Net::HTTPServer> m_server;
};

} // namespace galenaroad
