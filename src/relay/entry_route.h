#pragma once

#include "net/http_server.h"
#include "relay/relay_context.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace galenaroad {

/// Why a request cannot be routed to a service.
enum class route_error {
    no_plan,
    no_route,   ///< No route matches its host and path.
    not_served, ///< The plan names no service for it, or that part could not be read.
    stopping,   ///< The daemon may exit before the request has ended.
};

/// @return the error's name in logs.
std::string_view route_error_name(route_error error);

/// @return the status that a client gets for the error.
int status_of(route_error error);

/// Routing of one client request by the plan: its route, the service that runs it, the time by
/// which it meets its latency objective, and its deadline.
class entry_route {
public:
    /// @param plan the plan in force, or null.
    explicit entry_route(std::shared_ptr<const plan_index> plan);

    /// Finds the route of a request and chooses its service.
    /// @param context shared state.
    /// @param client the request.
    /// @return the error to respond with, or nothing when the request can be served.
    std::optional<route_error> find(relay_context& context, const server_exchange& client);

    /// @return the route's rule; null without a route. Valid for the lifetime of this object.
    const route_rule* rule() const { return m_rule; }

    /// @return the service that runs the request; empty after an error.
    const std::string& service() const { return m_service; }

    /// @return deadline of the response; valid when find() returned no error.
    steady_time deadline() const { return m_deadline; }

    /// @return time by which a response meets the latency objective; valid when find() returned no
    /// error.
    steady_time objective_time() const { return m_objective_time; }

    /// @return the plan's version; 0 without a plan.
    std::uint64_t plan_version() const { return m_plan ? m_plan->version() : 0; }

private:
    std::shared_ptr<const plan_index> m_plan; ///< Keeps the rule alive.
    const route_rule* m_rule = nullptr;
    std::string m_service;
    steady_time m_deadline;
    steady_time m_objective_time;
};

} // namespace galenaroad
