#include "proxy/http_answer_sink.h"

#include <Poco/Exception.h>

namespace galenaroad {

http_answer_sink::http_answer_sink(server_connection& connection,
                                   Poco::Net::HTTPServerResponse& response, std::string request_id)
    : m_connection(connection), m_response(response), m_request_id(std::move(request_id))
{
}

bool http_answer_sink::begin(const answer_head& head)
{
    using Poco::Net::HTTPResponse;
    m_response.setStatusAndReason(static_cast<HTTPResponse::HTTPStatus>(head.status));
    for (const auto& field : head.headers) {
        m_response.add(field.name, field.value);
    }
    m_response.set("X-Request-Id", m_request_id);
    if (head.content_length < 0) {
        m_response.setChunkedTransferEncoding(true);
    }
    else if (head.status != HTTPResponse::HTTP_NO_CONTENT) {
        m_response.setContentLength64(head.content_length);
    }
    try {
        m_body = &m_response.send();
        m_body->flush();
        return m_body->good();
    }
    catch (const Poco::Exception&) {
        return false;
    }
}

bool http_answer_sink::write(std::string_view bytes)
{
    m_body->write(bytes.data(), static_cast<std::streamsize>(bytes.size()));
    // Without the flush a slow response would reach the caller in steps of the buffer's size.
    m_body->flush();
    return m_body->good();
}

void http_answer_sink::abandon()
{
    m_response.setKeepAlive(false);
    m_connection.shut_down();
}

} // namespace galenaroad
