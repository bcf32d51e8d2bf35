#include "standins/standin_backend_server_http.h"

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/ServerSocket.h>
#include <thread>

namespace galenaroad {

namespace {

constexpr int min_threads = 2;
/// Connections beyond the announced ones, for operators and probes.
constexpr int spare_connections = 16;
constexpr std::chrono::milliseconds idle_before_end{200};
constexpr std::chrono::milliseconds drain_step{20};

class request_handler : public Poco::Net::HTTPRequestHandler {
public:
    request_handler(standin_backend_server_handler& handler,
                    std::chrono::milliseconds connection_time)
        : m_handler(handler), m_connection_time(connection_time)
    {
    }

    void handleRequest(Poco::Net::HTTPServerRequest& request,
                       Poco::Net::HTTPServerResponse& response) override
    {
        // One thread handles all requests of a connection, one connection after the other.
        thread_local std::string last_client;
        const auto client = request.clientAddress().toString();
        if (client != last_client) {
            std::this_thread::sleep_for(m_connection_time);
            last_client = client;
        }
        m_handler.handle(request, response);
    }

private:
    standin_backend_server_handler& m_handler;
    std::chrono::milliseconds m_connection_time;
};

class handler_factory : public Poco::Net::HTTPRequestHandlerFactory {
public:
    handler_factory(standin_backend_server_handler& handler,
                    std::chrono::milliseconds connection_time)
        : m_handler(handler), m_connection_time(connection_time)
    {
    }

    Poco::Net::HTTPRequestHandler*
    createRequestHandler(const Poco::Net::HTTPServerRequest& /*request*/) override
    {
        return new request_handler(m_handler, m_connection_time);
    }

private:
    standin_backend_server_handler& m_handler;
    std::chrono::milliseconds m_connection_time;
};

Poco::Net::HTTPServerParams::Ptr server_parameters(int max_threads)
{
    Poco::Net::HTTPServerParams::Ptr parameters = new Poco::Net::HTTPServerParams;
    parameters->setKeepAlive(true);
    parameters->setMaxKeepAliveRequests(0);
    parameters->setKeepAliveTimeout(Poco::Timespan(60, 0));
    parameters->setMaxThreads(max_threads);
    parameters->setMaxQueued(max_threads);
    return parameters;
}

} // namespace

standin_backend_server_http::standin_backend_server_http(standin_backend_server_settings settings)
    : m_settings(std::move(settings)),
      m_handler(m_settings, m_faults),
      m_threads(min_threads, m_settings.connections + spare_connections)
{
    const Poco::Net::ServerSocket socket{Poco::Net::SocketAddress(m_settings.address)};
    m_server = std::make_unique<Poco::Net::HTTPServer>(
        new handler_factory(m_handler, m_settings.connection_time), m_threads, socket,
        server_parameters(m_settings.connections + spare_connections));
    m_server->start();
}

standin_backend_server_http::~standin_backend_server_http()
{
    m_handler.stop();
    m_server->stopAll(true);
}

std::string standin_backend_server_http::address() const
{
    return m_server->socket().address().toString();
}

void standin_backend_server_http::drain()
{
    m_handler.stop();
    auto idle = std::chrono::milliseconds(0);
    while (idle < idle_before_end) {
        std::this_thread::sleep_for(drain_step);
        idle = m_handler.in_use() == 0 ? idle + drain_step : std::chrono::milliseconds(0);
    }
    m_server->stop();
}

} // namespace galenaroad
