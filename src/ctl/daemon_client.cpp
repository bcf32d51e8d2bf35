#include "ctl/daemon_client.h"

#include "platform/store_http_client.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/StreamCopier.h>
#include <nlohmann/json.hpp>

namespace galenaroad {

namespace {

// A drain waits for the table service, which answers within seconds when it is slow.
constexpr int timeout_seconds = 10;

daemon_answer read_answer(int status, std::string body)
{
    daemon_answer answer;
    answer.body = std::move(body);
    if (status < Poco::Net::HTTPResponse::HTTP_BAD_REQUEST) {
        return answer;
    }
    answer.kind = error_kind::internal;
    answer.detail = "status " + std::to_string(status);
    const auto problem = nlohmann::json::parse(answer.body, nullptr, false);
    if (problem.is_object() && problem.contains("kind") && problem["kind"].is_string()) {
        answer.kind = error_kind_named(problem["kind"].get<std::string>());
    }
    if (problem.is_object() && problem.contains("detail") && problem["detail"].is_string()) {
        answer.detail = problem["detail"].get<std::string>();
    }
    return answer;
}

} // namespace

daemon_client::daemon_client(std::string address) : m_address(std::move(address)) {}

daemon_answer daemon_client::ask(const std::string& method, const std::vector<std::string>& path,
                                 const std::string& body) const
{
    std::string target;
    for (const auto& segment : path) {
        target += '/' + store_http_client::encoded(segment);
    }
    try {
        Poco::Net::HTTPClientSession session{Poco::Net::SocketAddress(m_address)};
        session.setTimeout(Poco::Timespan(timeout_seconds, 0));
        Poco::Net::HTTPRequest request(method, target, "HTTP/1.1");
        request.setContentType("application/json");
        request.setContentLength64(static_cast<Poco::Int64>(body.size()));
        session.sendRequest(request) << body;
        Poco::Net::HTTPResponse response;
        std::string received;
        Poco::StreamCopier::copyToString(session.receiveResponse(response), received);
        return read_answer(response.getStatus(), std::move(received));
    }
    catch (const Poco::Exception& error) {
        return {error_kind::peer_unreachable, "", m_address + ": " + error.displayText()};
    }
}

} // namespace galenaroad
