#include "configuration/contract_json.h"

#include "base/deflate_codec.h"
#include "base/error_kind.h"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace galenaroad {

namespace {

// nlohmann::json sorts keys, which makes the text deterministic.
using nlohmann::json;

constexpr std::size_t max_inflated_bytes = 64U << 20U;

template <typename Enum>
struct enum_name {
    Enum value;
    const char* name;
};

constexpr std::array<enum_name<detection_policy>, 2> policy_names{{
    {detection_policy::fast, "fast"},
    {detection_policy::careful, "careful"},
}};

constexpr std::array<enum_name<request_class>, 3> class_names{{
    {request_class::read, "read"},
    {request_class::action, "action"},
    {request_class::transfer, "transfer"},
}};

template <typename Enum, std::size_t Size>
const char* name_of(const std::array<enum_name<Enum>, Size>& names, Enum value)
{
    return std::find_if(names.begin(), names.end() - 1,
                        [&](const auto& each) { return each.value == value; })
        ->name;
}

template <typename Enum, std::size_t Size>
Enum value_named(const std::array<enum_name<Enum>, Size>& names, const std::string& name)
{
    for (const auto& each : names) {
        if (name == each.name) {
            return each.value;
        }
    }
    throw std::invalid_argument("unknown name: " + name);
}

json service_to_json(const service& value)
{
    return {{"name", value.name},
            {"floor_slots", value.floor_slots},
            {"policy", name_of(policy_names, value.policy)}};
}

json route_to_json(const route& value)
{
    return {{"path_prefix", value.path_prefix},
            {"methods", value.methods},
            {"service", value.service},
            {"work", name_of(class_names, value.work)},
            {"once", value.once},
            {"key_required", value.key_required},
            {"timeout_ms", value.timeout.count()},
            {"max_body_bytes", value.max_body_bytes}};
}

service service_from_json(const json& source)
{
    service value;
    value.name = source.at("name").get<std::string>();
    value.floor_slots = source.at("floor_slots").get<int>();
    value.policy = value_named(policy_names, source.at("policy").get<std::string>());
    return value;
}

route route_from_json(const json& source)
{
    route value;
    value.path_prefix = source.at("path_prefix").get<std::string>();
    value.methods = source.at("methods").get<std::vector<std::string>>();
    value.service = source.at("service").get<std::string>();
    value.work = value_named(class_names, source.at("work").get<std::string>());
    value.once = source.at("once").get<bool>();
    value.key_required = source.at("key_required").get<bool>();
    value.timeout = std::chrono::milliseconds(source.at("timeout_ms").get<std::int64_t>());
    value.max_body_bytes = source.at("max_body_bytes").get<std::uint64_t>();
    return value;
}

} // namespace

std::string to_json(const contract& value)
{
    auto services = json::array();
    for (const auto& each : value.services) {
        services.push_back(service_to_json(each));
    }
    auto routes = json::array();
    for (const auto& each : value.routes) {
        routes.push_back(route_to_json(each));
    }
    const json body{{"business", value.business},
                    {"version", value.version},
                    {"writer", value.writer},
                    {"sheet_date", value.sheet_date},
                    {"hosts", value.hosts},
                    {"services", services},
                    {"routes", routes}};
    return body.dump(-1, ' ', false, json::error_handler_t::replace);
}

result<contract> contract_from_json(const std::string& text)
{
    try {
        const auto source = json::parse(text);
        contract value;
        value.business = source.at("business").get<std::string>();
        value.version = source.at("version").get<std::uint64_t>();
        value.writer = source.at("writer").get<std::string>();
        value.sheet_date = source.at("sheet_date").get<std::string>();
        value.hosts = source.at("hosts").get<std::vector<std::string>>();
        for (const auto& each : source.at("services")) {
            value.services.push_back(service_from_json(each));
        }
        for (const auto& each : source.at("routes")) {
            value.routes.push_back(route_from_json(each));
        }
        return value;
    }
    catch (const std::exception&) {
        return tl::unexpected(make_error_code(error_kind::declaration_invalid));
    }
}

std::string deflate_body(const std::string& text)
{
    return deflate_codec::compress(text);
}

result<std::string> inflate_body(const std::string& bytes)
{
    auto text = deflate_codec::decompress(bytes, max_inflated_bytes);
    if (!text) {
        return tl::unexpected(make_error_code(error_kind::declaration_invalid));
    }
    return std::move(*text);
}

} // namespace galenaroad
