#include "experiment/day_account.h"

#include <cstdlib>
#include <nlohmann/json.hpp>

namespace galenaroad {

namespace {

using nlohmann::json;

constexpr int not_run_status = 503;
constexpr int gateway_timeout_status = 504;
// Part of the expected service time below which a failure came before the work.
constexpr int early_divisor = 4;
// Characters of a time up to its seconds.
constexpr std::size_t seconds_length = 19;

constexpr std::array<std::string_view, unserved_causes> cause_names{
    "no_slot",     "waited_in_vain", "doubt",       "retry_budget",   "leaving",
    "unreachable", "no_owner",       "no_plan",     "failed_at_once", "failed_in_work",
    "answer_lost", "deadline",       "client_left", "unknown"};

std::string text_of(const json& line, const char* field)
{
    const auto found = line.find(field);
    return found != line.end() && found->is_string() ? found->get<std::string>() : std::string();
}

long number_of(const json& line, const char* field)
{
    return std::strtol(text_of(line, field).c_str(), nullptr, 10);
}

std::chrono::milliseconds time_of(const json& line, const char* field)
{
    return std::chrono::milliseconds(number_of(line, field));
}

bool is_run(const std::string& result)
{
    return result == "answered" || result == "connection_lost" || result == "invalid_response";
}

bool is_served(int status)
{
    constexpr int first_success = 200;
    constexpr int first_redirection = 300;
    return status >= first_success && status < first_redirection;
}

} // namespace

std::string_view cause_name(unserved_cause cause)
{
    return cause_names.at(static_cast<std::size_t>(cause));
}

bool day_account::add_line(std::string_view line)
{
    const auto start = line.find('{');
    if (start == std::string_view::npos) {
        return false;
    }
    const auto object = line.substr(start);
    const auto read = json::parse(object.begin(), object.end(), nullptr, false);
    const auto message = read.is_object() ? text_of(read, "message") : std::string();
    const auto id = read.is_object() ? text_of(read, "request_id") : std::string();
    if (message == "entry") {
        m_entries[id] = {text_of(read, "service"), text_of(read, "time").substr(0, seconds_length),
                         static_cast<int>(number_of(read, "status")), text_of(read, "reason"),
                         text_of(read, "last_refusal")};
        return true;
    }
    if (message != "owner") {
        return false;
    }
    const auto result = text_of(read, "result");
    if (!is_run(result)) {
        ++m_refusals[result];
        return true;
    }
    m_runs[id] = {result, text_of(read, "fault"),
                  time_of(read, "elapsed_ms") - time_of(read, "waited_ms"),
                  time_of(read, "expected_service_ms")};
    return true;
}

template <typename Key>
std::map<std::string, account_row> day_account::rows(Key key) const
{
    std::map<std::string, account_row> made;
    for (const auto& [id, entry] : m_entries) {
        auto& row = made[key(entry)];
        ++row.asked;
        if (is_served(entry.status)) {
            ++row.served;
            continue;
        }
        ++row.unserved.at(static_cast<std::size_t>(cause_of(id, entry)));
    }
    return made;
}

std::map<std::string, account_row> day_account::by_service() const
{
    return rows([](const entry_line& entry) { return entry.service; });
}

std::map<std::string, account_row> day_account::by_second() const
{
    return rows([](const entry_line& entry) { return entry.second; });
}

unserved_cause day_account::cause_of(const std::string& request_id, const entry_line& entry) const
{
    if (entry.reason == "client_left") {
        return unserved_cause::client_left;
    }
    if (entry.reason == "no_plan" || entry.reason == "no_route" ||
        entry.reason == "route_not_served") {
        return unserved_cause::no_plan;
    }
    if (entry.status == not_run_status) {
        return cause_of_refusal(entry);
    }
    if (entry.last_refusal == "no_allowance") {
        return unserved_cause::retry_budget;
    }
    const auto run = m_runs.find(request_id);
    if (entry.reason == "deadline" || entry.status == gateway_timeout_status) {
        return unserved_cause::deadline;
    }
    if (run == m_runs.end()) {
        return unserved_cause::unknown;
    }
    if (run->second.result != "answered") {
        return unserved_cause::answer_lost;
    }
    const bool is_early = run->second.served < run->second.expected / early_divisor;
    return is_early ? unserved_cause::failed_at_once : unserved_cause::failed_in_work;
}

unserved_cause day_account::cause_of_refusal(const entry_line& entry)
{
    static const std::map<std::string, unserved_cause> causes{
        {"busy", unserved_cause::no_slot},
        {"expired", unserved_cause::waited_in_vain},
        {"in_doubt", unserved_cause::doubt},
        {"no_allowance", unserved_cause::retry_budget},
        {"stopping", unserved_cause::leaving},
        {"draining", unserved_cause::leaving},
        {"unknown_upstream", unserved_cause::leaving},
        {"unreachable", unserved_cause::unreachable},
        {"none", unserved_cause::no_owner}};
    if (entry.reason == "stopping") {
        return unserved_cause::leaving;
    }
    const auto found = causes.find(entry.last_refusal);
    return found == causes.end() ? unserved_cause::unknown : found->second;
}

} // namespace galenaroad
