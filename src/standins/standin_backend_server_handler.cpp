#include "standins/standin_backend_server_handler.h"

#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/NumberParser.h>
#include <Poco/StreamCopier.h>
#include <Poco/Timespan.h>
#include <Poco/URI.h>
#include <algorithm>
#include <optional>
#include <thread>
#include <xxhash.h>

namespace galenaroad {

namespace {

using Poco::Net::HTTPResponse;
using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;
using namespace std::chrono_literals;

constexpr std::size_t block_bytes = 65536;
/// How often waiting requests look for a closed connection.
constexpr auto wait_step = 20ms;

void send_json(HTTPServerResponse& response, int status, const nlohmann::json& body)
{
    response.setStatusAndReason(static_cast<HTTPResponse::HTTPStatus>(status));
    response.setContentType("application/json");
    // Bodies echo what callers sent, which may not be UTF-8.
    const auto text = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    response.sendBuffer(text.data(), text.size());
}

std::optional<std::string> parameter(const HTTPServerRequest& request, const std::string& name)
{
    for (const auto& [key, value] : Poco::URI(request.getURI()).getQueryParameters()) {
        if (key == name) {
            return value;
        }
    }
    return std::nullopt;
}

Poco::Net::StreamSocket& socket_of(HTTPServerRequest& request)
{
    return dynamic_cast<Poco::Net::HTTPServerRequestImpl&>(request).socket();
}

bool is_closed(HTTPServerRequest& request)
{
    auto& socket = socket_of(request);
    return socket.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ) &&
           socket.available() == 0;
}

/// Ends the connection without an answer, or in the middle of one.
[[noreturn]] void abandon(HTTPServerRequest& request)
{
    socket_of(request).shutdown();
    throw Poco::Net::ConnectionAbortedException("abandoned by a fault setting");
}

const std::string& download_block()
{
    static const std::string block = [] {
        random_engine engine(1);
        std::string bytes(block_bytes, '\0');
        std::generate(bytes.begin(), bytes.end(), [&] { return static_cast<char>(engine()); });
        return bytes;
    }();
    return block;
}

std::string checksum(std::uint64_t bytes)
{
    XXH64_state_t* const state = XXH64_createState();
    XXH64_reset(state, 0);
    for (std::uint64_t left = bytes; left > 0;) {
        const auto part = std::min<std::uint64_t>(left, block_bytes);
        XXH64_update(state, download_block().data(), part);
        left -= part;
    }
    std::array<char, 17> text{};
    std::snprintf(text.data(), text.size(), "%016llx",
                  static_cast<unsigned long long>(XXH64_digest(state)));
    XXH64_freeState(state);
    return text.data();
}

/// Counts a request in for as long as it is worked on.
class slot_use {
public:
    explicit slot_use(std::atomic<int>& count) : m_count(count), m_taken(++count) {}
    slot_use(const slot_use&) = delete;
    slot_use& operator=(const slot_use&) = delete;
    slot_use(slot_use&&) = delete;
    slot_use& operator=(slot_use&&) = delete;
    ~slot_use() { --m_count; }

    int taken() const { return m_taken; }

private:
    std::atomic<int>& m_count;
    int m_taken;
};

} // namespace

/// One request and what was read of it.
struct standin_backend_server_handler::work {
    HTTPServerRequest& request;
    HTTPServerResponse& response;
    std::string body;
    nlohmann::json nested;
    trace_context context;

    bool is_action() const { return request.getMethod() != "GET" && request.getMethod() != "HEAD"; }
};

standin_backend_server_handler::standin_backend_server_handler(
    const standin_backend_server_settings& settings, standin_backend_server_faults& faults)
    : m_settings(settings), m_faults(faults), m_caller(settings), m_tracer(settings)
{
}

void standin_backend_server_handler::handle(HTTPServerRequest& request,
                                            HTTPServerResponse& response)
{
    const auto path = Poco::URI(request.getURI()).getPath();
    if (path == "/_faults") {
        handle_faults(request, response);
        return;
    }
    if (path == "/_actions") {
        send_json(response, 200, m_actions.json());
        return;
    }
    if (path == "/_counters") {
        send_json(response, 200,
                  {{"started", m_started.load()},
                   {"shed", m_shed.load()},
                   {"slots_in_use", m_in_use.load()}});
        return;
    }
    if (path == "/health") {
        handle_health(request, response);
        return;
    }
    work item{request, response, {}, nullptr, {}};
    Poco::StreamCopier::copyToString(request.stream(), item.body);
    handle_work(item);
}

void standin_backend_server_handler::handle_faults(HTTPServerRequest& request,
                                                   HTTPServerResponse& response)
{
    if (request.getMethod() != "GET") {
        std::string body;
        Poco::StreamCopier::copyToString(request.stream(), body);
        const auto problem = m_faults.apply(body);
        if (!problem.empty()) {
            send_json(response, 400, {{"error", problem}});
            return;
        }
    }
    send_json(response, 200, m_faults.json());
}

void standin_backend_server_handler::handle_health(HTTPServerRequest& request,
                                                   HTTPServerResponse& response)
{
    work probe{request, response, {}, nullptr, {}};
    hold(probe, &standin_fault_settings::frozen);
    wait(probe, m_settings.probe_time);
    const auto faults = m_faults.settings();
    const bool is_failing = faults.silent || m_faults.draw(faults.failure_share);
    const bool reports_success = faults.lying_health || !is_failing;
    send_json(response, reports_success ? 200 : 500,
              {{"slots_in_use", m_in_use.load()}, {"slots", m_settings.slots}});
}

void standin_backend_server_handler::handle_work(work& item)
{
    const slot_use slot(m_in_use);
    item.response.set("X-Slots-In-Use", std::to_string(std::min(slot.taken(), m_settings.slots)));
    if (slot.taken() > m_settings.slots) {
        ++m_shed;
        item.response.set("Retry-After", "1");
        send_json(item.response, HTTPResponse::HTTP_SERVICE_UNAVAILABLE,
                  {{"error", "all slots are in use"}, {"server", m_settings.name}});
        return;
    }
    ++m_started;
    const auto start = std::chrono::system_clock::now();
    item.context = m_tracer.enter(item.request.get("traceparent", ""));
    hold(item, &standin_fault_settings::frozen);
    hold(item, &standin_fault_settings::silent);
    run(item);
    m_tracer.finish("handle", span_kind::server, item.context, start);
}

void standin_backend_server_handler::run(work& item)
{
    const bool will_fail = m_faults.draw(m_faults.settings().failure_share);
    // Half of the failing actions fail after they ran: the caller cannot tell from the answer.
    const bool runs = item.is_action() && (!will_fail || m_faults.draw(0.5));
    if (runs) {
        const auto& request = item.request;
        m_actions.append({Poco::URI(request.getURI()).getPath(), request.get("Idempotency-Key", ""),
                          request.get("X-Request-Id", ""), item.body});
    }
    if (!wait(item, m_faults.draw_latency(m_settings.service_time))) {
        abandon(item.request);
    }
    if (will_fail) {
        fail(item);
        return;
    }
    if (!make_nested_call(item)) {
        reply(item, HTTPResponse::HTTP_BAD_GATEWAY, {{"error", "the nested call failed"}});
        return;
    }
    if (item.is_action()) {
        run_action(item);
        return;
    }
    const auto bytes = parameter(item.request, "bytes");
    Poco::UInt64 count = 0;
    if (bytes && Poco::NumberParser::tryParseUnsigned64(*bytes, count)) {
        run_download(item, count);
        return;
    }
    run_search(item);
}

void standin_backend_server_handler::run_action(work& item)
{
    reply(item, HTTPResponse::HTTP_CREATED,
          {{"accepted", true}, {"idempotency_key", item.request.get("Idempotency-Key", "")}});
}

void standin_backend_server_handler::run_search(work& item)
{
    const auto query = parameter(item.request, "q").value_or("");
    reply(item, HTTPResponse::HTTP_OK,
          {{"query", query}, {"results", {query + "-1", query + "-2", query + "-3"}}});
}

void standin_backend_server_handler::run_download(work& item, std::uint64_t bytes)
{
    item.response.setContentType("application/octet-stream");
    item.response.setContentLength64(static_cast<Poco::Int64>(bytes));
    item.response.set("X-Content-Checksum", "xxh64=" + checksum(bytes));
    const bool is_truncated = m_faults.settings().truncate;
    auto& output = item.response.send();
    for (std::uint64_t left = is_truncated ? bytes / 2 : bytes; left > 0 && output.good();) {
        const auto part = std::min<std::uint64_t>(left, block_bytes);
        output.write(download_block().data(), static_cast<std::streamsize>(part));
        left -= part;
    }
    output.flush();
    if (is_truncated) {
        abandon(item.request);
    }
}

bool standin_backend_server_handler::make_nested_call(work& item)
{
    const auto path = parameter(item.request, "call");
    if (!path) {
        return true;
    }
    const auto start = std::chrono::system_clock::now();
    const auto call_context = m_tracer.below(item.context);
    const auto header = m_tracer.header(call_context, item.request.get("traceparent", ""));
    item.nested = m_caller.call(item.request, *path, header);
    m_tracer.finish("nested call", span_kind::client, call_context, start);
    const int status = item.nested.value("status", 0);
    return status >= HTTPResponse::HTTP_OK && status < HTTPResponse::HTTP_INTERNAL_SERVER_ERROR;
}

void standin_backend_server_handler::fail(work& item)
{
    reply(item, HTTPResponse::HTTP_INTERNAL_SERVER_ERROR, {{"error", "failed by fault setting"}});
}

void standin_backend_server_handler::reply(work& item, int status, const nlohmann::json& body)
{
    auto full = body;
    full["server"] = m_settings.name;
    full["business"] = m_settings.business;
    full["service"] = m_settings.service;
    full["request_id"] = item.request.get("X-Request-Id", "");
    if (!item.nested.is_null()) {
        full["nested"] = item.nested;
    }
    if (!m_faults.settings().truncate) {
        send_json(item.response, status, full);
        return;
    }
    const auto text = full.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    item.response.setStatusAndReason(static_cast<HTTPResponse::HTTPStatus>(status));
    item.response.setContentType("application/json");
    item.response.setContentLength64(static_cast<Poco::Int64>(text.size()));
    item.response.send() << text.substr(0, text.size() / 2) << std::flush;
    abandon(item.request);
}

bool standin_backend_server_handler::wait(work& item, std::chrono::microseconds time)
{
    const auto end = std::chrono::steady_clock::now() + time;
    while (!m_stopping) {
        const auto left = end - std::chrono::steady_clock::now();
        if (left <= 0ns) {
            return true;
        }
        std::this_thread::sleep_for(std::min<std::chrono::nanoseconds>(left, wait_step));
        if (left > wait_step && is_closed(item.request)) {
            return false;
        }
    }
    // A stopping server finishes the work that it has started.
    std::this_thread::sleep_until(end);
    return true;
}

void standin_backend_server_handler::hold(work& item, bool standin_fault_settings::*fault)
{
    const bool is_held = m_faults.settings().*fault;
    const bool is_forever = fault == &standin_fault_settings::silent;
    while (is_held && (is_forever || m_faults.settings().*fault)) {
        if (m_stopping || is_closed(item.request)) {
            abandon(item.request);
        }
        std::this_thread::sleep_for(wait_step);
    }
}

} // namespace galenaroad
