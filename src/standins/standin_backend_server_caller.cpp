#include "standins/standin_backend_server_caller.h"

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/NumberParser.h>
#include <Poco/StreamCopier.h>
#include <chrono>

namespace galenaroad {

namespace {

constexpr std::chrono::milliseconds default_timeout{2000};

std::chrono::milliseconds timeout_of(const Poco::Net::HTTPRequest& incoming)
{
    unsigned value = 0;
    const auto text = incoming.get("X-Request-Timeout-Ms", "");
    return Poco::NumberParser::tryParseUnsigned(text, value) && value > 0
               ? std::chrono::milliseconds(value)
               : default_timeout;
}

} // namespace

standin_backend_server_caller::standin_backend_server_caller(
    const standin_backend_server_settings& settings)
    : m_entry_address(settings.entry_address), m_host(settings.host)
{
}

nlohmann::json standin_backend_server_caller::call(const Poco::Net::HTTPRequest& incoming,
                                                   const std::string& path,
                                                   const std::string& traceparent) const
{
    try {
        Poco::Net::HTTPClientSession session{Poco::Net::SocketAddress(m_entry_address)};
        session.setTimeout(Poco::Timespan(timeout_of(incoming).count() * 1000));
        Poco::Net::HTTPRequest request("GET", path, "HTTP/1.1");
        for (const char* const name : {"X-Call-Depth", "X-Request-Timeout-Ms", "X-Retry-Budget"}) {
            if (incoming.has(name)) {
                request.set(name, incoming.get(name));
            }
        }
        if (!traceparent.empty()) {
            request.set("traceparent", traceparent);
        }
        if (!m_host.empty()) {
            request.setHost(m_host);
        }
        session.sendRequest(request);
        Poco::Net::HTTPResponse response;
        std::string body;
        Poco::StreamCopier::copyToString(session.receiveResponse(response), body);
        return {{"status", static_cast<int>(response.getStatus())}, {"body", body}};
    }
    catch (const std::exception& error) {
        return {{"status", 0}, {"body", error.what()}};
    }
}

} // namespace galenaroad
