#include "standins/standin_store_server.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/ServerSocket.h>

#include <cxxopts.hpp>

#include <csignal>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <utility>

namespace galenaroad {

namespace {

using Poco::Net::HTTPResponse;
using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;

constexpr int min_threads = 4;
// One thread per connection: the largest fleet of a test has 40 daemons with several connections.
constexpr int max_threads = 400;
constexpr int exit_usage = 64;

void send_json(HTTPServerResponse& response, const nlohmann::json& document)
{
    const std::string body = document.dump() + "\n";
    response.setContentType("application/json");
    response.sendBuffer(body.data(), body.size());
}

void handle_faults(HTTPServerRequest& request, HTTPServerResponse& response,
                   standin_store_faults& faults)
{
    if (request.getMethod() == "PUT" &&
        !faults.apply(nlohmann::json::parse(request.stream(), nullptr, false))) {
        response.setStatusAndReason(HTTPResponse::HTTP_BAD_REQUEST);
    }
    send_json(response, faults.settings());
}

class store_request_handler : public Poco::Net::HTTPRequestHandler {
public:
    store_request_handler(standin_store_faults& faults, const standin_store_server::handler& handle)
        : m_faults(faults), m_handle(handle)
    {
    }

    void handleRequest(HTTPServerRequest& request, HTTPServerResponse& response) override
    {
        if (request.getURI() == "/_faults") {
            handle_faults(request, response, m_faults);
            return;
        }
        if (request.getURI() == "/_counters") {
            send_json(response, m_faults.counters());
            return;
        }
        m_handle(request, response);
    }

private:
    standin_store_faults& m_faults;
    const standin_store_server::handler& m_handle;
};

class handler_factory : public Poco::Net::HTTPRequestHandlerFactory {
public:
    handler_factory(standin_store_faults& faults, standin_store_server::handler handle)
        : m_faults(faults), m_handle(std::move(handle))
    {
    }

    Poco::Net::HTTPRequestHandler* createRequestHandler(const HTTPServerRequest&) override
    {
        return new store_request_handler(m_faults, m_handle);
    }

private:
    standin_store_faults& m_faults;
    standin_store_server::handler m_handle;
};

Poco::Net::HTTPServerParams::Ptr server_parameters()
{
    Poco::Net::HTTPServerParams::Ptr parameters = new Poco::Net::HTTPServerParams;
    parameters->setKeepAlive(true);
    parameters->setMaxKeepAliveRequests(0);
    parameters->setMaxThreads(max_threads);
    parameters->setMaxQueued(max_threads);
    return parameters;
}

// The file appears complete under its name, so that a reader never sees a part of it.
void write_addresses_file(const std::string& path, const std::string& address)
{
    const std::string part = path + ".part";
    std::ofstream(part) << nlohmann::json{{"address", address}}.dump() << '\n';
    std::rename(part.c_str(), path.c_str());
}

sigset_t block_stop_signals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    return signals;
}

} // namespace

standin_store_server::standin_store_server(const std::string& address, standin_store_faults& faults,
                                           handler handle_store)
    : m_threads(min_threads, max_threads)
{
    const Poco::Net::ServerSocket socket{Poco::Net::SocketAddress(address)};
    m_server = std::make_unique<Poco::Net::HTTPServer>(
        new handler_factory(faults, std::move(handle_store)), m_threads, socket,
        server_parameters());
    m_server->start();
}

standin_store_server::~standin_store_server()
{
    m_server->stopAll(true);
}

std::string standin_store_server::address() const
{
    return m_server->socket().address().toString();
}

std::uint16_t standin_store_server::port() const
{
    return m_server->port();
}

void standin_store_server::drop_connection(HTTPServerRequest& request)
{
    static_cast<Poco::Net::HTTPServerRequestImpl&>(request).socket().shutdown();
}

int standin_store_server::run_program(int argc, char** argv, standin_store_faults& faults,
                                      handler handle_store)
{
    // Threads inherit the mask, so only sigwait() below receives the signals.
    const auto stop_signals = block_stop_signals();
    try {
        cxxopts::Options options(argv[0], "Stand-in for a platform store");
        options.add_options()("address", "IP number and port to listen on",
                              cxxopts::value<std::string>()->default_value("127.0.0.1:0"))(
            "addresses-file", "file that receives the bound address, as JSON",
            cxxopts::value<std::string>()->default_value(""))("help", "print this text");
        const auto arguments = options.parse(argc, argv);
        if (arguments.count("help") > 0) {
            std::cout << options.help();
            return 0;
        }
        const standin_store_server server(arguments["address"].as<std::string>(), faults,
                                          std::move(handle_store));
        const auto file = arguments["addresses-file"].as<std::string>();
        if (!file.empty()) {
            write_addresses_file(file, server.address());
        }
        int signal = 0;
        sigwait(&stop_signals, &signal);
        return 0;
    }
    catch (const Poco::Exception& error) {
        std::cerr << error.displayText() << '\n';
    }
    catch (const std::exception& error) {
        std::cerr << error.what() << '\n';
    }
    return exit_usage;
}

} // namespace galenaroad
