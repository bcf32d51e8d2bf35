#pragma once

#include "accounts/request_authenticator.h"
#include "net/http_server.h"
#include "relay/entry_error.h"
#include "relay/relay_context.h"

#include <memory>
#include <optional>
#include <string>

namespace galenaroad {

/// What the plan says of one client request: its route, the client account, the service that runs
/// it, the time by which it meets its latency objective, and its deadline.
class entry_route {
public:
    /// @param plan the plan in force, or null.
    explicit entry_route(std::shared_ptr<const plan_index> plan);

    /// Takes a request through the steps that come before its first owner: route, client account,
    /// service. Their order is the order in which a client learns what to correct.
    /// @param context shared state.
    /// @param client the request.
    /// @return the error to respond with, or nothing when the request can be served.
    std::optional<entry_error> find(relay_context& context, const server_exchange& client);

    /// @return the route's rule; null without a route. Valid for the lifetime of this object.
    const route_rule* rule() const { return m_rule; }

    /// @return the client account; null without one.
    const std::shared_ptr<const client_account>& account() const { return m_account; }

    /// @return true when the upstream of the entry's instance may have sent the request; its
    /// requests carry no key.
    bool may_be_from_upstream() const { return !m_has_key; }

    /// @return the service that runs the request; empty after an error.
    const std::string& service() const { return m_service; }

    /// @return deadline of the response; valid when find() returned no error.
    steady_time deadline() const { return m_deadline; }

    /// @param now the current time.
    /// @return the part of the metadata of an attempt that the plan decides; valid when find()
    /// returned no error.
    attempt_metadata metadata(steady_time now) const;

    /// @param names the header fields.
    /// @param received head of the client's request.
    /// @return the head for owners, without the fields by which clients identify themselves.
    http_request_head head_for_owners(const header_names& names, http_request_head received) const;

    /// @return the route, the service, the account and the plan's version, for logs.
    log_fields fields() const;

private:
    std::optional<entry_error> find_rule(const server_exchange& client);
    std::optional<entry_error> find_account(relay_context& context, const server_exchange& client);
    std::optional<entry_error> choose_service(relay_context& context,
                                              const server_exchange& client);

    std::shared_ptr<const plan_index> m_plan; ///< Keeps the rule alive.
    const route_rule* m_rule = nullptr;
    std::shared_ptr<const client_account> m_account;
    bool m_has_key = false; ///< The request carries a key that the plan gives a meaning.
    std::string m_service;
    steady_time m_deadline;
    steady_time m_objective_time;
};

} // namespace galenaroad
