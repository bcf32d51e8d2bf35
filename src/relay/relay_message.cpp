#include "relay/relay_message.h"

#include <array>
#include <nlohmann/json.hpp>

namespace galenaroad {

namespace {

using json = nlohmann::json;

constexpr std::array<std::string_view, 3> kind_names{"safe", "at_most_once", "download"};
constexpr std::array<std::string_view, 4> tolerance_names{"careful", "trial", "waiting", "forced"};
constexpr std::array<std::string_view, 4> result_names{"answered", "rejected", "not_run", "failed"};
constexpr std::array<std::string_view, 14> reason_names{"none",
                                                        "unknown_upstream",
                                                        "draining",
                                                        "stopping",
                                                        "in_doubt",
                                                        "busy",
                                                        "no_allowance",
                                                        "expired",
                                                        "unreachable",
                                                        "connection_lost",
                                                        "invalid_response",
                                                        "cancelled",
                                                        "never_received",
                                                        "forgotten"};

template <typename Enum, std::size_t Size>
std::string_view name_in(const std::array<std::string_view, Size>& names, Enum value)
{
    return names.at(static_cast<std::size_t>(value));
}

// Throws std::out_of_range for a name that is not in the list.
template <typename Enum, std::size_t Size>
Enum value_in(const std::array<std::string_view, Size>& names, const std::string& name)
{
    for (std::size_t index = 0; index < Size; ++index) {
        if (names.at(index) == name) {
            return static_cast<Enum>(index);
        }
    }
    throw std::out_of_range(name);
}

relay_order order_from(const json& value)
{
    relay_order order;
    order.attempt_id = value.at("id").get<std::string>();
    order.service = value.at("service").get<std::string>();
    order.route = value.at("route").get<std::string>();
    order.caller_service = value.at("caller").get<std::string>();
    order.entry_address = value.at("entry").get<std::string>();
    order.remaining = std::chrono::milliseconds(value.at("remaining_ms").get<std::int64_t>());
    order.goal_remaining = std::chrono::milliseconds(value.at("goal_ms").get<std::int64_t>());
    order.kind = value_in<request_kind>(kind_names, value.at("kind").get<std::string>());
    order.tolerance =
        value_in<doubt_tolerance>(tolerance_names, value.at("tolerance").get<std::string>());
    order.attempt = value.at("attempt").get<int>();
    order.priority = value.at("priority").get<int>();
    order.plan_version = value.at("plan").get<std::uint64_t>();
    return order;
}

owner_report report_from(const json& value)
{
    owner_report report;
    report.result = value_in<owner_result>(result_names, value.at("result").get<std::string>());
    report.reason = value_in<owner_reason>(reason_names, value.at("reason").get<std::string>());
    report.failing_percent = value.at("failing").get<int>();
    report.load_percent = value.at("load").get<int>();
    report.retry_after = std::chrono::milliseconds(value.at("retry_after_ms").get<std::int64_t>());
    report.plan_version = value.at("plan").get<std::uint64_t>();
    report.token = value.at("token").get<std::string>();
    return report;
}

answer_query query_from(const json& value)
{
    answer_query query;
    query.attempt_id = value.at("id").get<std::string>();
    query.token = value.at("token").get<std::string>();
    return query;
}

template <typename Message>
std::optional<Message> decode(std::string_view text, Message (*from)(const json&))
{
    const auto value = json::parse(text, nullptr, false);
    if (!value.is_object()) {
        return {};
    }
    try {
        return from(value);
    }
    catch (const json::exception&) {
        return {};
    }
    catch (const std::out_of_range&) {
        return {};
    }
}

} // namespace

std::string_view reason_name(owner_reason reason)
{
    return name_in(reason_names, reason);
}

std::string relay_message::encode(const relay_order& order)
{
    const json value{{"id", order.attempt_id},
                     {"service", order.service},
                     {"route", order.route},
                     {"caller", order.caller_service},
                     {"entry", order.entry_address},
                     {"remaining_ms", order.remaining.count()},
                     {"goal_ms", order.goal_remaining.count()},
                     {"kind", name_in(kind_names, order.kind)},
                     {"tolerance", name_in(tolerance_names, order.tolerance)},
                     {"attempt", order.attempt},
                     {"priority", order.priority},
                     {"plan", order.plan_version}};
    return value.dump();
}

std::string relay_message::encode(const owner_report& report)
{
    const json value{{"result", name_in(result_names, report.result)},
                     {"reason", name_in(reason_names, report.reason)},
                     {"failing", report.failing_percent},
                     {"load", report.load_percent},
                     {"retry_after_ms", report.retry_after.count()},
                     {"plan", report.plan_version},
                     {"token", report.token}};
    return value.dump();
}

std::string relay_message::encode(const answer_query& query)
{
    return json{{"id", query.attempt_id}, {"token", query.token}}.dump();
}

std::optional<relay_order> relay_message::decode_order(std::string_view text)
{
    return decode<relay_order>(text, order_from);
}

std::optional<owner_report> relay_message::decode_report(std::string_view text)
{
    return decode<owner_report>(text, report_from);
}

std::optional<answer_query> relay_message::decode_query(std::string_view text)
{
    return decode<answer_query>(text, query_from);
}

} // namespace galenaroad
