#include "platform/store_http_client.h"

#include "base/error_kind.h"
#include "platform/store_http_session.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/StreamCopier.h>
#include <Poco/URI.h>

#include <istream>
#include <ostream>
#include <utility>

namespace galenaroad {

namespace {

Poco::Timespan timespan_of(std::chrono::milliseconds time)
{
    return {std::chrono::microseconds(time).count()};
}

Poco::Net::HTTPRequest head_of(const store_request& request)
{
    Poco::Net::HTTPRequest head(request.method, request.target, Poco::Net::HTTPMessage::HTTP_1_1);
    head.setKeepAlive(true);
    head.setContentLength64(static_cast<Poco::Int64>(request.body.size()));
    if (!request.content_type.empty()) {
        head.setContentType(request.content_type);
    }
    if (!request.precondition.if_match.empty()) {
        head.set("If-Match", request.precondition.if_match);
    }
    if (request.precondition.if_none_match) {
        head.set("If-None-Match", "*");
    }
    return head;
}

// POCO ends a body at the end of the connection without an error, so the length is compared.
bool is_complete(const Poco::Net::HTTPResponse& head, const std::string& body)
{
    return !head.hasContentLength() ||
           static_cast<Poco::Int64>(body.size()) == head.getContentLength64();
}

} // namespace

store_http_client::store_http_client(store_endpoint endpoint, const clock& time)
    : m_endpoint(std::move(endpoint)), m_clock(time)
{
}

store_http_client::~store_http_client() = default;

result<store_response> store_http_client::exchange(const store_request& request)
{
    auto session = take_session();
    try {
        auto head = head_of(request);
        session->sendRequest(head) << request.body << std::flush;
        Poco::Net::HTTPResponse response_head;
        auto& stream = session->receiveResponse(response_head);
        store_response response;
        response.status = response_head.getStatus();
        response.tag = response_head.get("ETag", "");
        Poco::StreamCopier::copyToString(stream, response.body);
        if (!is_complete(response_head, response.body)) {
            return tl::unexpected(make_error_code(error_kind::outcome_unknown));
        }
        if (response_head.getKeepAlive()) {
            keep_session(std::move(session));
        }
        return response;
    }
    catch (const Poco::Exception&) {
        const bool sent = session->connection_established();
        return tl::unexpected(
            make_error_code(sent ? error_kind::outcome_unknown : error_kind::store_unavailable));
    }
}

std::string store_http_client::encoded(const std::string& text)
{
    std::string encoded_text;
    Poco::URI::encode(text, "!#$&'()*+,/:;=?@[]", encoded_text);
    return encoded_text;
}

std::unique_ptr<store_http_session> store_http_client::take_session()
{
    {
        const std::lock_guard lock(m_mutex);
        while (!m_idle.empty()) {
            auto idle = std::move(m_idle.back());
            m_idle.pop_back();
            if (m_clock.steady_now() - idle.since < m_endpoint.idle_timeout) {
                return std::move(idle.session);
            }
        }
    }
    auto session = std::make_unique<store_http_session>(m_endpoint.host, m_endpoint.port);
    session->setKeepAlive(true);
    session->setTimeout(timespan_of(m_endpoint.connect_timeout),
                        timespan_of(m_endpoint.response_timeout),
                        timespan_of(m_endpoint.response_timeout));
    return session;
}

void store_http_client::keep_session(std::unique_ptr<store_http_session> session)
{
    const std::lock_guard lock(m_mutex);
    if (m_idle.size() < m_endpoint.idle_connections) {
        m_idle.push_back({std::move(session), m_clock.steady_now()});
    }
}

} // namespace galenaroad
