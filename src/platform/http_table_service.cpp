#include "platform/http_table_service.h"

#include "platform/store_status.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace galenaroad {

namespace {

constexpr auto json_type = "application/json";

std::string rows_path(const std::string& table)
{
    return "/tables/" + store_http_client::encoded(table) + "/rows";
}

std::string row_path(const std::string& table, const std::string& key)
{
    return rows_path(table) + "/" + store_http_client::encoded(key);
}

auto unavailable()
{
    return tl::unexpected(make_error_code(error_kind::store_unavailable));
}

result<std::vector<table_row>> parse_rows(const std::string& body)
{
    const auto document = nlohmann::json::parse(body, nullptr, false);
    if (!document.is_object() || !document.contains("rows") || !document["rows"].is_array()) {
        return unavailable();
    }
    std::vector<table_row> rows;
    for (const auto& row : document["rows"]) {
        rows.push_back({row.value("key", ""), row.value("value", ""), row.value("tag", "")});
    }
    return rows;
}

} // namespace

http_table_service::http_table_service(store_endpoint endpoint, const clock& time)
    : m_client(std::move(endpoint), time)
{
}

result<table_row> http_table_service::read(const std::string& table, const std::string& key)
{
    const auto response = m_client.exchange({"GET", row_path(table, key), {}, {}, {}});
    if (response && response->status == store_status::not_found) {
        return table_row{key, {}, {}};
    }
    if (!response || response->status != store_status::ok || response->tag.empty()) {
        return unavailable();
    }
    return table_row{key, response->body, response->tag};
}

result<std::vector<table_row>> http_table_service::list(const std::string& table,
                                                        const std::string& prefix, int limit)
{
    const auto target = rows_path(table) + "?prefix=" + store_http_client::encoded(prefix) +
                        "&limit=" + std::to_string(limit);
    const auto response = m_client.exchange({"GET", target, {}, {}, {}});
    if (!response || response->status != store_status::ok) {
        return unavailable();
    }
    try {
        return parse_rows(response->body);
    }
    catch (const nlohmann::json::exception&) {
        return unavailable();
    }
}

result<std::string> http_table_service::insert(const std::string& table, const std::string& key,
                                               const std::string& value)
{
    return put(table, key, value, {{}, true});
}

result<std::string> http_table_service::update(const std::string& table, const std::string& key,
                                               const std::string& value,
                                               const std::string& expected_tag)
{
    if (expected_tag.empty()) {
        // A request without a precondition would overwrite the row.
        return tl::unexpected(make_error_code(error_kind::version_conflict));
    }
    return put(table, key, value, {expected_tag, false});
}

std::error_code http_table_service::remove(const std::string& table, const std::string& key,
                                           const std::string& expected_tag)
{
    if (expected_tag.empty()) {
        return error_kind::version_conflict;
    }
    const auto response =
        m_client.exchange({"DELETE", row_path(table, key), {expected_tag, false}, {}, {}});
    if (!response) {
        return response.error();
    }
    const auto outcome = write_outcome(response->status);
    return outcome == error_kind::ok ? std::error_code() : make_error_code(outcome);
}

result<std::string> http_table_service::put(const std::string& table, const std::string& key,
                                            const std::string& value,
                                            const store_precondition& precondition)
{
    auto response =
        m_client.exchange({"PUT", row_path(table, key), precondition, value, json_type});
    if (!response) {
        return tl::unexpected(response.error());
    }
    const auto outcome = write_outcome(response->status);
    if (outcome != error_kind::ok) {
        return tl::unexpected(make_error_code(outcome));
    }
    if (response->tag.empty()) {
        return tl::unexpected(make_error_code(error_kind::outcome_unknown));
    }
    return std::move(response->tag);
}

} // namespace galenaroad
