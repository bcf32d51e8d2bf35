#include "relay/entry_route.h"

#include <Poco/Net/HTTPResponse.h>
#include <algorithm>

namespace galenaroad {

using Poco::Net::HTTPResponse;

std::string_view route_error_name(route_error error)
{
    switch (error) {
    case route_error::no_plan:
        return "no_plan";
    case route_error::no_route:
        return "no_route";
    case route_error::not_served:
        return "route_not_served";
    case route_error::stopping:
        return "stopping";
    }
    return "route_not_served";
}

int status_of(route_error error)
{
    const bool is_unknown = error == route_error::no_route;
    return is_unknown ? HTTPResponse::HTTP_NOT_FOUND : HTTPResponse::HTTP_SERVICE_UNAVAILABLE;
}

entry_route::entry_route(std::shared_ptr<const plan_index> plan) : m_plan(std::move(plan)) {}

std::optional<route_error> entry_route::find(relay_context& context, const server_exchange& client)
{
    if (!m_plan) {
        return route_error::no_plan;
    }
    const auto& head = client.head();
    m_rule = m_plan->match(http_head::find(head.fields, "Host").value_or(""), head.target);
    if (m_rule == nullptr) {
        // The request may belong to a route that could not be read.
        return m_plan->properties().has_all_routes ? route_error::no_route
                                                   : route_error::not_served;
    }
    if (m_rule->targets.empty()) {
        return route_error::not_served;
    }
    const auto requested_ms = http_head::parse_number(
        http_head::find(head.fields, context.names.remaining_ms).value_or(""));
    const auto max_ms = static_cast<std::uint64_t>(m_rule->timeout.count());
    const std::chrono::milliseconds timeout_left(std::min(requested_ms.value_or(max_ms), max_ms));
    m_deadline = client.received_at() + timeout_left;
    m_objective_time = client.received_at() + std::min(timeout_left, m_rule->latency_objective);
    if (!context.stopping.accepts_request(m_deadline, context.now())) {
        return route_error::stopping;
    }
    m_service = context.splits.choose(*m_rule);
    return {};
}

} // namespace galenaroad
