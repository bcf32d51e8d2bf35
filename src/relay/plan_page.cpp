#include "relay/plan_page.h"

#include "base/deflate_codec.h"
#include "net/http_head.h"

#include <Poco/Exception.h>
#include <Poco/URI.h>
#include <map>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace galenaroad {

namespace {

using json = nlohmann::json;

// Far above the size of a page, which holds a few hundred routes.
constexpr std::size_t max_page_bytes = std::size_t{8} * 1024 * 1024;

/// Reads the elements of an array in the order in which they were written. Throws json::exception
/// or std::out_of_range when the array is not valid.
class array_reader {
public:
    explicit array_reader(const json& array) : m_array(array) {}

    template <typename Value>
    Value next()
    {
        return m_array.at(m_position++).template get<Value>();
    }

    std::chrono::milliseconds next_duration()
    {
        return std::chrono::milliseconds(next<std::int64_t>());
    }

    const json& next_value() { return m_array.at(m_position++); }

    bool has_next() const { return m_position < m_array.size(); }

private:
    const json& m_array;
    std::size_t m_position = 0;
};

// Arrays without field names: the names would be the greater part of a page. Fields that belong to
// accounts are the last ones and are left out when they are not used, so that daemons which know no
// accounts exchange plans without them.
json encode_route(const route_rule& rule)
{
    auto targets = json::array();
    for (const auto& target : rule.targets) {
        targets.push_back(json::array({target.service, target.weight}));
    }
    auto value = json::array({rule.name, rule.host, rule.prefix, static_cast<int>(rule.kind),
                              rule.timeout.count(), rule.latency_objective.count(),
                              rule.max_attempts, rule.priority, targets});
    if (rule.is_public) {
        value.push_back(rule.is_public);
    }
    return value;
}

request_kind kind_from(int value)
{
    if (value < 0 || value > static_cast<int>(request_kind::upload)) {
        throw std::out_of_range("kind");
    }
    return static_cast<request_kind>(value);
}

route_rule decode_route(const json& value)
{
    array_reader reader(value);
    route_rule rule;
    rule.name = reader.next<std::string>();
    rule.host = reader.next<std::string>();
    rule.prefix = reader.next<std::string>();
    rule.kind = kind_from(reader.next<int>());
    rule.timeout = reader.next_duration();
    rule.latency_objective = reader.next_duration();
    rule.max_attempts = reader.next<int>();
    rule.priority = reader.next<int>();
    for (const auto& target : reader.next_value()) {
        array_reader parts(target);
        weighted_service decoded;
        decoded.service = parts.next<std::string>();
        decoded.weight = parts.next<double>();
        rule.targets.push_back(std::move(decoded));
    }
    rule.is_public = reader.has_next() && reader.next<bool>();
    return rule;
}

json encode_properties(const plan_properties& properties)
{
    const auto& limits = properties.limits;
    auto value =
        json::array({limits.max_head_bytes, limits.max_body_bytes, limits.head_timeout.count(),
                     limits.idle_timeout.count(), properties.error_count, properties.has_all_routes,
                     properties.has_all_services});
    if (properties.has_accounts || !properties.has_all_accounts) {
        value.push_back(properties.has_accounts);
        value.push_back(properties.has_all_accounts);
    }
    return value;
}

plan_properties decode_properties(const json& value)
{
    array_reader reader(value);
    plan_properties properties;
    properties.limits.max_head_bytes = reader.next<std::size_t>();
    properties.limits.max_body_bytes = reader.next<std::uint64_t>();
    properties.limits.head_timeout = reader.next_duration();
    properties.limits.idle_timeout = reader.next_duration();
    properties.error_count = reader.next<std::size_t>();
    properties.has_all_routes = reader.next<bool>();
    properties.has_all_services = reader.next<bool>();
    if (reader.has_next()) {
        properties.has_accounts = reader.next<bool>();
        properties.has_all_accounts = reader.next<bool>();
    }
    return properties;
}

json encode_account(const client_account& account)
{
    auto keys = json::array();
    for (const auto& key : account.keys) {
        keys.push_back(key.hex());
    }
    auto value = json::array({account.name, account.quota.rate, account.quota.burst, keys});
    if (account.priority) {
        value.push_back(*account.priority);
    }
    return value;
}

client_account decode_account(const json& value)
{
    array_reader reader(value);
    client_account account;
    account.name = reader.next<std::string>();
    account.quota.rate = reader.next<double>();
    account.quota.burst = reader.next<double>();
    for (const auto& text : reader.next_value()) {
        const auto key = api_key_digest::from_hex(text.get<std::string>());
        if (!key) {
            throw std::out_of_range("key");
        }
        account.keys.push_back(*key);
    }
    if (reader.has_next()) {
        account.priority = reader.next<int>();
    }
    return account;
}

json encode_services(const std::map<std::string, service_rule>& services)
{
    auto values = json::array();
    for (const auto& [name, rule] : services) {
        values.push_back(json::array({name, rule.health_path, rule.max_connections}));
    }
    return values;
}

std::map<std::string, service_rule> decode_services(const json& values)
{
    std::map<std::string, service_rule> services;
    for (const auto& value : values) {
        array_reader reader(value);
        const auto name = reader.next<std::string>();
        auto& rule = services[name];
        rule.health_path = reader.next<std::string>();
        rule.max_connections = reader.next<int>();
    }
    return services;
}

plan_page page_from(const json& value)
{
    plan_page page;
    auto& part = page.part;
    part.base_version = value.at("base").get<std::uint64_t>();
    part.version = value.at("version").get<std::uint64_t>();
    part.digest = value.at("digest").get<std::uint64_t>();
    part.properties = decode_properties(value.at("properties"));
    for (const auto& route : value.at("routes")) {
        part.routes.push_back(decode_route(route));
    }
    part.removed_routes = value.at("removed_routes").get<std::vector<std::string>>();
    part.services = decode_services(value.at("services"));
    part.removed_services = value.at("removed_services").get<std::vector<std::string>>();
    if (const auto accounts = value.find("accounts"); accounts != value.end()) {
        for (const auto& account : *accounts) {
            part.accounts.push_back(decode_account(account));
        }
    }
    if (const auto removed = value.find("removed_accounts"); removed != value.end()) {
        part.removed_accounts = removed->get<std::vector<std::string>>();
    }
    page.position = value.at("position").get<std::string>();
    page.next_position = value.at("next").get<std::string>();
    return page;
}

std::uint64_t number_in(const std::map<std::string, std::string>& values, const char* name)
{
    const auto found = values.find(name);
    return found == values.end() ? 0 : http_head::parse_number(found->second).value_or(0);
}

} // namespace

std::string plan_page_codec::encode(const plan_page_request& request)
{
    Poco::URI uri(path);
    uri.addQueryParameter("base", std::to_string(request.base_version));
    uri.addQueryParameter("version", std::to_string(request.version));
    uri.addQueryParameter("from", request.address);
    if (!request.position.empty()) {
        uri.addQueryParameter("position", request.position);
    }
    return uri.getPathAndQuery();
}

std::optional<plan_page_request> plan_page_codec::decode_request(const std::string& target)
{
    try {
        const Poco::URI uri(target);
        if (uri.getPath() != path) {
            return {};
        }
        const auto parameters = uri.getQueryParameters();
        const std::map<std::string, std::string> values(parameters.begin(), parameters.end());
        plan_page_request request;
        request.base_version = number_in(values, "base");
        request.version = number_in(values, "version");
        const auto address = values.find("from");
        const auto position = values.find("position");
        request.address = address == values.end() ? "" : address->second;
        request.position = position == values.end() ? "" : position->second;
        return request;
    }
    catch (const Poco::Exception&) {
        return {};
    }
}

std::string plan_page_codec::encode(const plan_page& page)
{
    const auto& part = page.part;
    auto routes = json::array();
    for (const auto& rule : part.routes) {
        routes.push_back(encode_route(rule));
    }
    json value{{"base", part.base_version},
               {"version", part.version},
               {"digest", part.digest},
               {"properties", encode_properties(part.properties)},
               {"routes", std::move(routes)},
               {"removed_routes", part.removed_routes},
               {"services", encode_services(part.services)},
               {"removed_services", part.removed_services},
               {"position", page.position},
               {"next", page.next_position}};
    for (const auto& account : part.accounts) {
        value["accounts"].push_back(encode_account(account));
    }
    if (!part.removed_accounts.empty()) {
        value["removed_accounts"] = part.removed_accounts;
    }
    return deflate_codec::compress(value.dump(-1, ' ', false, json::error_handler_t::replace));
}

std::optional<plan_page> plan_page_codec::decode_page(std::string_view body)
{
    const auto text = deflate_codec::decompress(body, max_page_bytes);
    if (!text) {
        return {};
    }
    const auto value = json::parse(*text, nullptr, false);
    if (!value.is_object()) {
        return {};
    }
    try {
        return page_from(value);
    }
    catch (const json::exception&) {
        return {};
    }
    catch (const std::out_of_range&) {
        return {};
    }
}

std::string plan_page_codec::encode(const plan_page_refusal& refusal)
{
    return json{{"holders", refusal.holders}}.dump();
}

plan_page_refusal plan_page_codec::decode_refusal(std::string_view body)
{
    const auto value = json::parse(body, nullptr, false);
    if (!value.is_object() || !value.contains("holders") || !value["holders"].is_array()) {
        return {};
    }
    plan_page_refusal refusal;
    for (const auto& each : value["holders"]) {
        if (each.is_string()) {
            refusal.holders.push_back(each.get<std::string>());
        }
    }
    return refusal;
}

} // namespace galenaroad
