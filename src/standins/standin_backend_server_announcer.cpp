#include "standins/standin_backend_server_announcer.h"

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/NullStream.h>
#include <Poco/StreamCopier.h>

namespace galenaroad {

namespace {

constexpr std::chrono::seconds request_timeout{1};

} // namespace

standin_backend_server_announcer::standin_backend_server_announcer(
    standin_backend_server_settings settings, std::string address,
    const standin_backend_server_faults& faults)
    : m_settings(std::move(settings)), m_address(std::move(address)), m_faults(faults)
{
    if (!m_settings.admin_address.empty()) {
        m_thread = std::thread([this] { run(); });
    }
}

standin_backend_server_announcer::~standin_backend_server_announcer()
{
    stop();
}

bool standin_backend_server_announcer::leave()
{
    stop();
    return !m_settings.admin_address.empty() && send("DELETE");
}

void standin_backend_server_announcer::stop()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    m_wake.notify_all();
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

void standin_backend_server_announcer::run()
{
    std::unique_lock lock(m_mutex);
    while (!m_stopping) {
        lock.unlock();
        const bool is_announced = !m_faults.settings().frozen && send("PUT");
        lock.lock();
        // A daemon that still starts is tried again sooner.
        const auto pause = is_announced ? std::chrono::milliseconds(interval)
                                        : std::chrono::milliseconds(interval) / 10;
        m_wake.wait_for(lock, pause, [this] { return m_stopping; });
    }
}

bool standin_backend_server_announcer::send(const std::string& method) const
{
    const nlohmann::json body{{"business", m_settings.business},
                              {"service", m_settings.service},
                              {"address", m_address},
                              {"slots", m_settings.slots},
                              {"connections", m_settings.connections}};
    const auto text = method == "PUT" ? body.dump() : std::string();
    try {
        Poco::Net::HTTPClientSession session(Poco::Net::SocketAddress(m_settings.admin_address));
        session.setTimeout(Poco::Timespan(request_timeout.count(), 0));
        Poco::Net::HTTPRequest request(method, "/v1/upstreams/" + m_settings.name, "HTTP/1.1");
        request.setContentType("application/json");
        request.setContentLength64(static_cast<Poco::Int64>(text.size()));
        session.sendRequest(request) << text;
        Poco::Net::HTTPResponse response;
        Poco::NullOutputStream discarded;
        Poco::StreamCopier::copyStream(session.receiveResponse(response), discarded);
        return response.getStatus() < Poco::Net::HTTPResponse::HTTP_MULTIPLE_CHOICES;
    }
    catch (const std::exception&) {
        return false;
    }
}

} // namespace galenaroad
