#include "proxy/entry_handler.h"

#include "proxy/http_body_source.h"
#include "proxy/problem.h"
#include "proxy/request_reader.h"

#include <Poco/Exception.h>
#include <nlohmann/json.hpp>
#include <optional>

namespace galenaroad {

namespace {

using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;

constexpr auto key_path = "/v1/idempotency-keys";

call_context::header_lookup lookup_in(const HTTPServerRequest& request)
{
    return [&request](std::string_view name) -> std::optional<std::string> {
        const std::string key(name);
        return request.has(key) ? std::make_optional(request.get(key)) : std::nullopt;
    };
}

body_framing framing_of(const entry_request& request, std::uint64_t max_bytes)
{
    body_framing framing;
    framing.max_bytes = max_bytes;
    if (!request.has_body) {
        return framing;
    }
    const bool is_chunked = request.content_length < 0;
    framing.type = is_chunked ? body_framing::kind::chunked : body_framing::kind::fixed_length;
    framing.length = is_chunked ? 0 : static_cast<std::uint64_t>(request.content_length);
    return framing;
}

attempt_result incomplete_request(body_state state)
{
    if (state == body_state::malformed) {
        return attempt_result::failed(error_kind::request_too_large,
                                      "The body is malformed or exceeds the route's limit");
    }
    return attempt_result::failed(error_kind::invalid_request, "The request body ended early");
}

} // namespace

entry_handler::entry_handler(const entry_context& parts) : m_parts(parts) {}

void entry_handler::handleRequest(HTTPServerRequest& request, HTTPServerResponse& response)
{
    m_request_id = m_parts.ids.request_id();
    const auto arrived = m_parts.time.steady_now();
    auto hop = m_parts.telemetry.receive("entry", request.get("traceparent", ""));
    hop.attribute("http.request.method", request.getMethod());
    m_traceparent = hop.context().header();
    server_connection connection(request);
    http_answer_sink sink(connection, response, m_request_id);
    const auto outcome = handle(request, sink, connection);
    note_end(hop, outcome, arrived);
    // An unread body would be taken for the next request.
    if (!m_body_consumed || m_parts.gate.is_leaving()) {
        response.setKeepAlive(false);
    }
    if (outcome.ok()) {
        return;
    }
    if (sink.has_started()) {
        sink.abandon();
        return;
    }
    try {
        problem::send(response, outcome, m_request_id);
        if (!m_body_consumed) {
            connection.discard_input();
        }
    }
    catch (const Poco::Exception&) {
        sink.abandon();
    }
}

void entry_handler::note_end(span_builder& hop, const attempt_result& outcome,
                             steady_time arrived) const
{
    hop.attribute("galenaroad.request_id", m_request_id);
    hop.attribute("galenaroad.service", m_service.service);
    m_parts.telemetry.finish(hop, outcome);
    m_parts.telemetry.count("entry", m_service, outcome, m_parts.time.steady_now() - arrived);
}

attempt_result entry_handler::handle(HTTPServerRequest& request, http_answer_sink& sink,
                                     server_connection& connection)
{
    auto read = request_reader::read(request);
    if (!read) {
        return attempt_result::failed(read.error().kind, read.error().detail);
    }
    m_body_consumed = !read->has_body;
    read->id = m_request_id;
    read->traceparent = m_traceparent;
    const auto header = lookup_in(request);
    // The depth only decides on admission while leaving; the route's check follows.
    const auto depth = header("X-Call-Depth").value_or("0") == "0" ? 0 : 1;
    if (!m_parts.gate.enter_entry(depth)) {
        return attempt_result::failed(error_kind::leaving, "The instance is shutting down");
    }
    const bool is_key_request = read->method == "POST" && read->path == key_path;
    auto outcome = is_key_request ? issue_key(sink) : route(*read, header, sink, connection);
    m_parts.gate.leave_entry();
    return outcome;
}

attempt_result entry_handler::issue_key(answer_sink& sink) const
{
    const auto key = m_parts.issue_key();
    if (!key) {
        return attempt_result::failed(kind_of(key.error()), "No key can be issued now");
    }
    const auto text = nlohmann::json{{"key", *key}}.dump();
    answer_head head;
    head.status = Poco::Net::HTTPResponse::HTTP_CREATED;
    head.headers = {{"Content-Type", "application/json"}, {"Cache-Control", "no-store"}};
    head.content_length = static_cast<std::int64_t>(text.size());
    attempt_result outcome;
    outcome.sink_gone = !sink.begin(head) || !sink.write(text);
    return outcome;
}

attempt_result entry_handler::route(entry_request& request,
                                    const call_context::header_lookup& header,
                                    http_answer_sink& sink, server_connection& connection)
{
    auto view = m_parts.view.load();
    if (!view->ready) {
        return attempt_result::failed(error_kind::configuration_unavailable, "");
    }
    const auto matched = view->routing->routes().match(request.host, request.method, request.path);
    if (!matched) {
        return attempt_result::failed(error_kind::route_not_found, "");
    }
    const auto& declared = *matched.declared;
    m_service = {std::string(matched.business), declared.service};
    const auto max_body = static_cast<std::int64_t>(declared.max_body_bytes);
    if (request.content_length > max_body) {
        return attempt_result::failed(error_kind::request_too_large, "The body is too large");
    }
    const auto context =
        call_context::from_headers(header, declared.timeout, m_parts.time.steady_now());
    if (!context) {
        return attempt_result::failed(kind_of(context.error()), "");
    }
    forward_order order{request, std::move(view), matched, *context, {}, false};
    return forward(order, sink, connection);
}

attempt_result entry_handler::forward(forward_order& order, http_answer_sink& sink,
                                      server_connection& connection)
{
    const auto framing = framing_of(order.request, order.route.declared->max_body_bytes);
    http_body_source source(connection, framing, m_parts.time, order.context.deadline);
    replayable_body body(source, action_forwarder::kept_bytes(order));
    // A short body is complete before anything runs, so an upload that breaks off runs nothing.
    const auto state = body.read_all();
    if (state != body_state::complete && state != body_state::more) {
        return incomplete_request(state);
    }
    auto outcome = m_parts.forward.run(order, body, sink);
    m_body_consumed = source.consumed();
    return outcome;
}

} // namespace galenaroad
