#include "configuration/contract_row.h"

#include "base/error_kind.h"
#include "configuration/contract_json.h"
#include "platform/object_store.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace galenaroad {

namespace {

using nlohmann::json;

constexpr std::size_t history_length = 16;

auto invalid()
{
    return tl::unexpected(make_error_code(error_kind::declaration_invalid));
}

} // namespace

bool contract_row::has_accepted(std::uint64_t version, const std::string& writer) const
{
    return std::any_of(history.begin(), history.end(), [&](const contract_write& each) {
        return each.version == version && each.writer == writer;
    });
}

std::string body_key(const contract& value)
{
    return value.business + "/" + std::to_string(value.version) + "-" + value.writer;
}

result<std::uint64_t> row_version(const std::string& value)
{
    const auto source = json::parse(value, nullptr, false);
    if (!source.is_object() || !source.contains("version") ||
        !source["version"].is_number_unsigned()) {
        return invalid();
    }
    return source["version"].get<std::uint64_t>();
}

result<contract_row> load_row(const std::string& value, object_store& objects)
{
    try {
        const auto source = json::parse(value);
        auto text = source.contains("body")
                        ? result<std::string>(source.at("body").dump())
                        : objects.read(contracts_table, source.at("object").get<std::string>());
        if (!text) {
            return tl::unexpected(text.error());
        }
        auto body = contract_from_json(*text);
        if (!body || body->version != source.at("version").get<std::uint64_t>()) {
            return invalid();
        }
        contract_row row;
        row.value = std::move(*body);
        for (const auto& each : source.at("history")) {
            row.history.push_back(
                {each.at("version").get<std::uint64_t>(), each.at("writer").get<std::string>()});
        }
        return row;
    }
    catch (const std::exception&) {
        return invalid();
    }
}

result<std::string> next_row_value(const contract_row& current, const contract& next,
                                   object_store& objects)
{
    json row{{"version", next.version}, {"writer", next.writer}};
    auto history = json::array({{{"version", next.version}, {"writer", next.writer}}});
    for (const auto& each : current.history) {
        if (history.size() < history_length) {
            history.push_back({{"version", each.version}, {"writer", each.writer}});
        }
    }
    row["history"] = std::move(history);
    const auto text = to_json(next);
    if (text.size() <= max_inline_bytes) {
        row["body"] = json::parse(text);
        return row.dump();
    }
    const auto key = body_key(next);
    if (objects.write(contracts_table, key, text)) {
        return tl::unexpected(make_error_code(error_kind::store_unavailable));
    }
    row["object"] = key;
    return row.dump();
}

} // namespace galenaroad
