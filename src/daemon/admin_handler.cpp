#include "daemon/admin_handler.h"

#include "proxy/problem.h"

#include <Poco/Exception.h>
#include <Poco/URI.h>
#include <istream>
#include <string_view>
#include <vector>

namespace galenaroad {

namespace {

using Poco::Net::HTTPResponse;
using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;

constexpr std::string_view upstream_prefix = "/v1/upstreams/";
constexpr std::string_view drain_prefix = "/v1/drains/";
constexpr std::string_view contract_prefix = "/v1/contracts/";

void refuse(HTTPServerResponse& response, error_kind kind, std::string detail)
{
    response.setKeepAlive(false);
    problem::send(response, attempt_result::failed(kind, std::move(detail)), "");
}

void send_text(HTTPServerResponse& response, const std::string& type, const std::string& text)
{
    response.setContentType(type);
    response.sendBuffer(text.data(), text.size());
}

void send_no_content(HTTPServerResponse& response)
{
    response.setStatusAndReason(HTTPResponse::HTTP_NO_CONTENT);
    response.send();
}

std::string read_body(HTTPServerRequest& request)
{
    std::string body(admin_handler::max_body_bytes, '\0');
    request.stream().read(body.data(), static_cast<std::streamsize>(body.size()));
    body.resize(static_cast<std::size_t>(request.stream().gcount()));
    return body;
}

} // namespace

admin_handler::admin_handler(const admin_actions& actions) : m_actions(actions) {}

void admin_handler::handleRequest(HTTPServerRequest& request, HTTPServerResponse& response)
{
    const auto path = request.getURI().substr(0, request.getURI().find('?'));
    if (path.rfind(upstream_prefix, 0) == 0) {
        handle_upstream(path.substr(upstream_prefix.size()), request, response);
        return;
    }
    if (path.rfind(drain_prefix, 0) == 0) {
        handle_drain(path, request, response);
        return;
    }
    // The table decides what is accepted; the body of the notification is not trusted.
    if (path.rfind(contract_prefix, 0) == 0 && request.getMethod() == "POST") {
        read_body(request);
        m_actions.contract_accepted();
        send_no_content(response);
        return;
    }
    if (path == "/metrics") {
        send_text(response, "text/plain; version=0.0.4; charset=utf-8", m_actions.metrics());
        return;
    }
    if (path == "/v1/fleet") {
        send_text(response, "application/json", m_actions.fleet());
        return;
    }
    if (path == "/ready") {
        report_readiness(response);
        return;
    }
    refuse(response, error_kind::route_not_found, "");
}

void admin_handler::handle_upstream(const std::string& name, HTTPServerRequest& request,
                                    HTTPServerResponse& response) const
{
    if (request.getMethod() == "PUT") {
        announce(name, request, response);
        return;
    }
    if (request.getMethod() == "DELETE") {
        m_actions.withdraw(name);
        send_no_content(response);
        return;
    }
    refuse(response, error_kind::invalid_request, "Use PUT or DELETE");
}

void admin_handler::handle_drain(const std::string& path, HTTPServerRequest& request,
                                 HTTPServerResponse& response) const
{
    const auto& method = request.getMethod();
    std::vector<std::string> parts;
    Poco::URI(path).getPathSegments(parts);
    constexpr std::size_t part_count = 6;
    if (parts.size() != part_count || (method != "PUT" && method != "DELETE")) {
        refuse(response, error_kind::invalid_request,
               "Use PUT or DELETE with /v1/drains/BUSINESS/SERVICE/INSTANCE/UPSTREAM");
        return;
    }
    const auto failed =
        m_actions.drain({parts[2], parts[3]}, {parts[4], parts[5]}, method == "PUT");
    if (failed) {
        refuse(response, kind_of(failed), "");
        return;
    }
    send_no_content(response);
}

void admin_handler::announce(const std::string& name, HTTPServerRequest& request,
                             HTTPServerResponse& response) const
{
    const auto made = upstream_announcement::parse(name, read_body(request));
    if (!made) {
        refuse(response, error_kind::invalid_request,
               "business, service, address, slots and connections are expected");
        return;
    }
    m_actions.announce(*made);
    send_no_content(response);
}

void admin_handler::report_readiness(HTTPServerResponse& response) const
{
    const auto reason = m_actions.not_ready();
    if (reason.empty()) {
        send_text(response, "text/plain", "ready\n");
        return;
    }
    refuse(response, error_kind::configuration_unavailable, reason);
}

} // namespace galenaroad
