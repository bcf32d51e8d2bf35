#include "proxy/http_listener.h"

#include "base/error_kind.h"

#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>

namespace galenaroad {

namespace {

constexpr int min_threads = 2;
constexpr int thread_idle_seconds = 60;
constexpr int listen_backlog = 512;

Poco::AutoPtr<Poco::Net::HTTPServerParams> params_for(const listener_limits& limits)
{
    Poco::AutoPtr<Poco::Net::HTTPServerParams> params(new Poco::Net::HTTPServerParams);
    params->setMaxThreads(limits.threads);
    params->setMaxQueued(limits.max_queued_connections);
    params->setKeepAlive(true);
    params->setKeepAliveTimeout(Poco::Timespan(http_listener::keep_alive_seconds, 0));
    params->setMaxKeepAliveRequests(0);
    params->setTimeout(Poco::Timespan(http_listener::head_timeout_seconds, 0));
    return params;
}

} // namespace

http_listener::http_listener(Poco::Net::HTTPRequestHandlerFactory::Ptr factory,
                             listener_limits limits)
    : m_factory(std::move(factory)),
      m_limits(limits),
      m_threads(min_threads, limits.threads + min_threads, thread_idle_seconds, stack_bytes)
{
}

result<std::string> http_listener::start(const std::string& address)
{
    try {
        const Poco::Net::SocketAddress wanted(address);
        Poco::Net::ServerSocket socket;
        socket.bind(wanted, true, false);
        socket.listen(listen_backlog);
        m_server = std::make_unique<Poco::Net::HTTPServer>(m_factory, m_threads, socket,
                                                           params_for(m_limits));
        m_server->start();
        return socket.address().toString();
    }
    catch (const Poco::Exception&) {
        return tl::make_unexpected(make_error_code(error_kind::settings_invalid));
    }
}

void http_listener::stop()
{
    if (m_server) {
        m_server->stopAll(false);
        m_threads.joinAll();
    }
}

} // namespace galenaroad
