#include "standins/standin_table_service_handler.h"

#include "base/error_kind.h"
#include "standins/standin_store_server.h"

#include <Poco/StreamCopier.h>
#include <Poco/String.h>
#include <Poco/URI.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdlib>

namespace galenaroad {

namespace {

using Poco::Net::HTTPResponse;
using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;

constexpr int default_list_limit = 1000;

void send_status(HTTPServerResponse& response, HTTPResponse::HTTPStatus status)
{
    response.setStatusAndReason(status);
    response.setContentLength(0);
    response.send();
}

std::string decoded(const std::string& text)
{
    std::string decoded_text;
    Poco::URI::decode(text, decoded_text);
    return decoded_text;
}

std::string quoted(const std::string& tag)
{
    return '"' + tag + '"';
}

std::string unquoted(const std::string& tag)
{
    const bool is_quoted = tag.size() > 2 && tag.front() == '"' && tag.back() == '"';
    return is_quoted ? tag.substr(1, tag.size() - 2) : tag;
}

void send_write_outcome(HTTPServerRequest& request, HTTPServerResponse& response,
                        const std::error_code& error)
{
    switch (kind_of(error)) {
    case error_kind::ok:
        send_status(response, HTTPResponse::HTTP_NO_CONTENT);
        return;
    case error_kind::version_conflict:
        send_status(response, HTTPResponse::HTTP_PRECONDITION_FAILED);
        return;
    case error_kind::store_unavailable:
        send_status(response, HTTPResponse::HTTP_SERVICE_UNAVAILABLE);
        return;
    default:
        standin_store_server::drop_connection(request);
    }
}

std::string query_value(const Poco::URI& uri, const std::string& name)
{
    const auto parameters = uri.getQueryParameters();
    const auto found = std::find_if(parameters.begin(), parameters.end(),
                                    [&](const auto& entry) { return entry.first == name; });
    return found == parameters.end() ? std::string() : found->second;
}

} // namespace

standin_table_service_handler::standin_table_service_handler(memory_table_service& tables)
    : m_tables(tables)
{
}

void standin_table_service_handler::handle(HTTPServerRequest& request, HTTPServerResponse& response)
{
    const std::string prefix = "/tables/";
    const std::string rows = "/rows";
    const auto& uri = request.getURI();
    const auto rows_at = uri.find(rows, prefix.size());
    if (uri.compare(0, prefix.size(), prefix) != 0 || rows_at == std::string::npos) {
        send_status(response, HTTPResponse::HTTP_NOT_FOUND);
        return;
    }
    const auto table = decoded(uri.substr(prefix.size(), rows_at - prefix.size()));
    const auto rest = uri.substr(rows_at + rows.size());
    const bool has_key = rest.size() > 1 && rest.front() == '/';
    const auto key = has_key ? decoded(rest.substr(1)) : std::string();
    const auto& method = request.getMethod();
    if (method == "GET" && !has_key) {
        list(table, request, response);
    }
    else if (method == "GET") {
        read(table, key, response);
    }
    else if (method == "PUT" && has_key) {
        put(table, key, request, response);
    }
    else if (method == "DELETE" && has_key) {
        remove(table, key, request, response);
    }
    else {
        send_status(response, HTTPResponse::HTTP_METHOD_NOT_ALLOWED);
    }
}

void standin_table_service_handler::read(const std::string& table, const std::string& key,
                                         HTTPServerResponse& response)
{
    const auto row = m_tables.read(table, key);
    if (!row) {
        send_status(response, HTTPResponse::HTTP_SERVICE_UNAVAILABLE);
        return;
    }
    if (row->tag.empty()) {
        send_status(response, HTTPResponse::HTTP_NOT_FOUND);
        return;
    }
    response.set("ETag", quoted(row->tag));
    response.setContentType("application/json");
    response.sendBuffer(row->value.data(), row->value.size());
}

void standin_table_service_handler::list(const std::string& table, HTTPServerRequest& request,
                                         HTTPServerResponse& response)
{
    const Poco::URI uri(request.getURI());
    const auto limit_text = query_value(uri, "limit");
    const int limit = limit_text.empty() ? default_list_limit : std::atoi(limit_text.c_str());
    const auto rows = m_tables.list(table, query_value(uri, "prefix"), limit);
    if (!rows) {
        send_status(response, HTTPResponse::HTTP_SERVICE_UNAVAILABLE);
        return;
    }
    auto listed = nlohmann::json::array();
    for (const auto& row : *rows) {
        listed.push_back({{"key", row.key}, {"value", row.value}, {"tag", quoted(row.tag)}});
    }
    const auto body = nlohmann::json{{"rows", listed}}.dump();
    response.setContentType("application/json");
    response.sendBuffer(body.data(), body.size());
}

void standin_table_service_handler::put(const std::string& table, const std::string& key,
                                        HTTPServerRequest& request, HTTPServerResponse& response)
{
    std::string value;
    Poco::StreamCopier::copyToString(request.stream(), value);
    const bool must_be_new = request.get("If-None-Match", "") == "*";
    const auto expected_tag = unquoted(request.get("If-Match", ""));
    // A write without a precondition is refused (428), because no writer of the fleet means it.
    if (!must_be_new && expected_tag.empty()) {
        send_status(response, HTTPResponse::HTTP_PRECONDITION_REQUIRED);
        return;
    }
    if (!nlohmann::json::accept(value)) {
        send_status(response, HTTPResponse::HTTP_BAD_REQUEST);
        return;
    }
    const auto written = must_be_new ? m_tables.insert(table, key, value)
                                     : m_tables.update(table, key, value, expected_tag);
    if (!written) {
        send_write_outcome(request, response, written.error());
        return;
    }
    response.set("ETag", quoted(*written));
    send_status(response, must_be_new ? HTTPResponse::HTTP_CREATED : HTTPResponse::HTTP_NO_CONTENT);
}

void standin_table_service_handler::remove(const std::string& table, const std::string& key,
                                           HTTPServerRequest& request, HTTPServerResponse& response)
{
    const auto expected_tag = unquoted(request.get("If-Match", ""));
    if (expected_tag.empty()) {
        send_status(response, HTTPResponse::HTTP_PRECONDITION_REQUIRED);
        return;
    }
    send_write_outcome(request, response, m_tables.remove(table, key, expected_tag));
}

} // namespace galenaroad
