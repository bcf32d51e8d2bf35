#include "relay/condition_message.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

namespace galenaroad {

namespace {

using nlohmann::json;

constexpr double percent = 100;
constexpr int max_load_percent = 1'000'000;
constexpr std::int64_t max_age_ms = 60'000;
constexpr std::size_t item_fields = 6;

json tested_ago_to_json(const owner_health& condition)
{
    if (!condition.last_outcome_age) {
        return nullptr;
    }
    return std::min<std::int64_t>(condition.last_outcome_age->count(), max_age_ms);
}

json item_to_json(const condition_item& item)
{
    return json::array({item.owner, std::lround(item.condition.failure_probability * percent),
                        std::lround(item.condition.load * percent), item.age.count(),
                        item.condition.accepts_requests, tested_ago_to_json(item.condition)});
}

bool is_number_up_to(const json& value, std::int64_t greatest)
{
    return value.is_number_unsigned() &&
           value.get<std::uint64_t>() <= static_cast<std::uint64_t>(greatest);
}

std::optional<condition_item> item_from_json(const json& value)
{
    if (!value.is_array() || value.size() != item_fields || !value[0].is_string() ||
        !is_number_up_to(value[1], static_cast<std::int64_t>(percent)) ||
        !is_number_up_to(value[2], max_load_percent) || !is_number_up_to(value[3], max_age_ms) ||
        !value[4].is_boolean() || !(value[5].is_null() || is_number_up_to(value[5], max_age_ms))) {
        return {};
    }
    condition_item item;
    item.owner = value[0].get<std::string>();
    item.condition.failure_probability = value[1].get<int>() / percent;
    item.condition.load = value[2].get<int>() / percent;
    item.condition.accepts_requests = value[4].get<bool>();
    if (!value[5].is_null()) {
        item.condition.last_outcome_age = std::chrono::milliseconds(value[5].get<std::int64_t>());
    }
    item.age = std::chrono::milliseconds(value[3].get<std::int64_t>());
    return item;
}

// An impossible length throws in this library although exceptions are switched off.
json parse(std::string_view bytes)
{
    constexpr bool is_strict = true;
    constexpr bool throws = false;
    try {
        return json::from_cbor(bytes.begin(), bytes.end(), is_strict, throws);
    }
    catch (const json::exception&) {
        return json(json::value_t::discarded);
    }
}

} // namespace

std::string condition_message::encode(const std::vector<condition_item>& items)
{
    auto list = json::array();
    for (const auto& item : items) {
        list.push_back(item_to_json(item));
    }
    std::string bytes;
    json::to_cbor(list, bytes);
    return bytes;
}

std::optional<std::vector<condition_item>> condition_message::decode(std::string_view bytes)
{
    const auto message = parse(bytes);
    if (!message.is_array() || message.size() > condition_news::max_items) {
        return {};
    }
    std::vector<condition_item> items;
    for (const auto& value : message) {
        auto item = item_from_json(value);
        if (!item) {
            return {};
        }
        items.push_back(std::move(*item));
    }
    return items;
}

} // namespace galenaroad
