#include "relay/entry_route.h"

#include <Poco/Net/HTTPResponse.h>
#include <algorithm>

namespace galenaroad {

namespace {

using namespace std::chrono_literals;
using Poco::Net::HTTPResponse;

// A daemon that has lost the source of its plan usually finds another one within this time.
constexpr auto plan_recovery_time = 1s;

entry_error not_served(std::string_view reason)
{
    return {HTTPResponse::HTTP_SERVICE_UNAVAILABLE, reason, {}};
}

entry_error refusal_for(identity_error error)
{
    const auto reason = identity_error_name(error);
    if (is_temporary(error)) {
        return {HTTPResponse::HTTP_SERVICE_UNAVAILABLE, reason, plan_recovery_time};
    }
    return {HTTPResponse::HTTP_UNAUTHORIZED, reason, {}};
}

} // namespace

entry_route::entry_route(std::shared_ptr<const plan_index> plan) : m_plan(std::move(plan)) {}

std::optional<entry_error> entry_route::find(relay_context& context, const server_exchange& client)
{
    if (auto error = find_rule(client)) {
        return error;
    }
    if (auto error = find_account(context, client)) {
        return error;
    }
    return choose_service(context, client);
}

std::optional<entry_error> entry_route::find_rule(const server_exchange& client)
{
    if (!m_plan) {
        return not_served("no_plan");
    }
    const auto& head = client.head();
    m_rule = m_plan->match(http_head::find(head.fields, "Host").value_or(""), head.target);
    if (m_rule != nullptr) {
        return {};
    }
    if (!m_plan->properties().has_all_routes) {
        // The request may belong to a route that could not be read.
        return not_served("route_not_served");
    }
    return entry_error{HTTPResponse::HTTP_NOT_FOUND, "no_route", {}};
}

std::optional<entry_error> entry_route::find_account(relay_context& context,
                                                     const server_exchange& client)
{
    const auto& fields = client.head().fields;
    m_has_key = m_plan->properties().has_accounts &&
                http_head::find(fields, request_authenticator::field).has_value();
    const auto state = context.has_plan_source ? plan_state::current : plan_state::outdated;
    auto account = request_authenticator(*m_plan, state).authenticate(*m_rule, fields);
    if (account) {
        m_account = std::move(*account);
        return {};
    }
    context.metrics.record_identity_refusal(std::string(identity_error_name(account.error())));
    return refusal_for(account.error());
}

std::optional<entry_error> entry_route::choose_service(relay_context& context,
                                                       const server_exchange& client)
{
    if (m_rule->targets.empty()) {
        return not_served("route_not_served");
    }
    const auto requested_ms = http_head::parse_number(
        http_head::find(client.head().fields, context.names.remaining_ms).value_or(""));
    const auto max_ms = static_cast<std::uint64_t>(m_rule->timeout.count());
    const std::chrono::milliseconds timeout_left(std::min(requested_ms.value_or(max_ms), max_ms));
    m_deadline = client.received_at() + timeout_left;
    m_objective_time = client.received_at() + std::min(timeout_left, m_rule->latency_objective);
    if (!context.stopping.accepts_request(m_deadline, context.now())) {
        return not_served("stopping");
    }
    m_service = context.splits.choose(*m_rule);
    return {};
}

attempt_metadata entry_route::metadata(steady_time now) const
{
    attempt_metadata metadata;
    metadata.service = m_service;
    metadata.route = m_rule->name;
    metadata.kind = m_rule->kind;
    metadata.priority = m_rule->priority;
    metadata.plan_version = m_plan->version();
    metadata.objective_remaining =
        std::chrono::duration_cast<std::chrono::milliseconds>(m_objective_time - now);
    if (m_account) {
        metadata.account = m_account->name;
        metadata.priority = m_account->priority.value_or(m_rule->priority);
    }
    return metadata;
}

http_request_head entry_route::head_for_owners(const header_names& names,
                                               http_request_head received) const
{
    if (m_plan->properties().has_accounts) {
        http_head::remove(received.fields, request_authenticator::field);
        http_head::remove(received.fields, names.account);
    }
    return received;
}

log_fields entry_route::fields() const
{
    log_fields fields = {{"route", m_rule == nullptr ? "" : m_rule->name},
                         {"service", m_service},
                         {"plan", std::to_string(m_plan ? m_plan->version() : 0)}};
    if (m_account) {
        fields.emplace_back("account", m_account->name);
    }
    return fields;
}

} // namespace galenaroad
