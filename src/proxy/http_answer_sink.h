#pragma once

#include "proxy/answer_sink.h"
#include "proxy/server_connection.h"

#include <Poco/Net/HTTPServerResponse.h>
#include <ostream>
#include <string>

namespace galenaroad {

/// Sends a response to the caller.
class http_answer_sink : public answer_sink {
public:
    /// @param connection the caller's connection.
    /// @param response the response, of which nothing has been sent.
    /// @param request_id the id of the request.
    http_answer_sink(server_connection& connection, Poco::Net::HTTPServerResponse& response,
                     std::string request_id);

    bool begin(const answer_head& head) override;
    bool write(std::string_view bytes) override;

    /// Closes the connection after a failure, so that the caller sees an incomplete response.
    ///
    /// POCO ends a chunked body as if it were complete when the response object is destroyed;
    /// once the connection is closed that last chunk cannot be sent.
    void abandon();

    /// @return true when the head has been sent.
    bool has_started() const { return m_body != nullptr; }

private:
    server_connection& m_connection;
    Poco::Net::HTTPServerResponse& m_response;
    std::string m_request_id;
    std::ostream* m_body = nullptr;
};

} // namespace galenaroad
