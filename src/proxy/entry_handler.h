#pragma once

#include "proxy/action_forwarder.h"
#include "proxy/entry_request.h"
#include "proxy/fleet_view.h"
#include "proxy/hop_telemetry.h"
#include "proxy/http_answer_sink.h"
#include "proxy/snapshot_cell.h"
#include "proxy/work_gate.h"

#include <Poco/Net/HTTPRequestHandler.h>
#include <functional>

namespace galenaroad {

/// Parts of the daemon that handle callers' requests. All outlive the handler.
struct entry_context {
    const clock& time;
    const snapshot_cell<fleet_view>& view;
    work_gate& gate;
    id_source& ids;
    action_forwarder& forward;
    hop_telemetry& telemetry;
    std::function<result<std::string>()> issue_key; ///< Issues an idempotency key.
};

/// Handles one request of a caller.
class entry_handler : public Poco::Net::HTTPRequestHandler {
public:
    /// @param parts what handles the request.
    explicit entry_handler(const entry_context& parts);

    void handleRequest(Poco::Net::HTTPServerRequest& request,
                       Poco::Net::HTTPServerResponse& response) override;

private:
    attempt_result handle(Poco::Net::HTTPServerRequest& request, http_answer_sink& sink,
                          server_connection& connection);
    attempt_result route(entry_request& request, const call_context::header_lookup& header,
                         http_answer_sink& sink, server_connection& connection);
    attempt_result forward(forward_order& order, http_answer_sink& sink,
                           server_connection& connection);

    attempt_result issue_key(answer_sink& sink) const;
    void note_end(span_builder& hop, const attempt_result& outcome, steady_time arrived) const;

    const entry_context& m_parts;
    std::string m_request_id;
    std::string m_traceparent; ///< Names the entry's span.
    service_id m_service;      ///< Of the matched route.
    bool m_body_consumed = false;
};

} // namespace galenaroad
