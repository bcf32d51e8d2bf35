#include "relay/health_report_codec.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

namespace galenaroad {

namespace {

using nlohmann::json;

constexpr double percent = 100;
constexpr int max_load_percent = 1'000'000;
constexpr std::int64_t max_age_ms = 60'000;
constexpr std::size_t fields_per_report = 6;
// Only reports of owners that are stopping have one more, which older daemons cannot read.
constexpr std::size_t max_fields_per_report = 7;

json last_outcome_age_to_json(const owner_health& health)
{
    if (!health.last_outcome_age) {
        return nullptr;
    }
    return std::min<std::int64_t>(health.last_outcome_age->count(), max_age_ms);
}

json report_to_json(const relayed_report& report)
{
    auto value =
        json::array({report.owner, std::lround(report.health.failure_probability * percent),
                     std::lround(report.health.load * percent), report.age.count(),
                     report.health.accepts_requests, last_outcome_age_to_json(report.health)});
    if (report.health.accepts_only_retryable) {
        value.push_back(true);
    }
    return value;
}

bool is_unsigned_up_to(const json& value, std::int64_t max)
{
    return value.is_number_unsigned() &&
           value.get<std::uint64_t>() <= static_cast<std::uint64_t>(max);
}

std::optional<relayed_report> report_from_json(const json& value)
{
    if (!value.is_array() || value.size() < fields_per_report ||
        value.size() > max_fields_per_report || !value[0].is_string() ||
        !is_unsigned_up_to(value[1], static_cast<std::int64_t>(percent)) ||
        !is_unsigned_up_to(value[2], max_load_percent) ||
        !is_unsigned_up_to(value[3], max_age_ms) || !value[4].is_boolean() ||
        !(value[5].is_null() || is_unsigned_up_to(value[5], max_age_ms)) ||
        (value.size() == max_fields_per_report && !value[fields_per_report].is_boolean())) {
        return {};
    }
    relayed_report report;
    report.owner = value[0].get<std::string>();
    report.health.failure_probability = value[1].get<int>() / percent;
    report.health.load = value[2].get<int>() / percent;
    report.health.accepts_requests = value[4].get<bool>();
    if (!value[5].is_null()) {
        report.health.last_outcome_age = std::chrono::milliseconds(value[5].get<std::int64_t>());
    }
    report.health.accepts_only_retryable =
        value.size() == max_fields_per_report && value[fields_per_report].get<bool>();
    report.age = std::chrono::milliseconds(value[3].get<std::int64_t>());
    return report;
}

// from_cbor throws on an impossible length even when its exceptions are disabled.
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

std::string health_report_codec::encode(const std::vector<relayed_report>& reports)
{
    auto list = json::array();
    for (const auto& report : reports) {
        list.push_back(report_to_json(report));
    }
    std::string bytes;
    json::to_cbor(list, bytes);
    return bytes;
}

std::optional<std::vector<relayed_report>> health_report_codec::decode(std::string_view bytes)
{
    const auto message = parse(bytes);
    if (!message.is_array() || message.size() > health_report_buffer::max_reports) {
        return {};
    }
    std::vector<relayed_report> reports;
    for (const auto& value : message) {
        auto report = report_from_json(value);
        if (!report) {
            return {};
        }
        reports.push_back(std::move(*report));
    }
    return reports;
}

} // namespace galenaroad
