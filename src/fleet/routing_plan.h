#pragma once

#include "fleet/client_account.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace galenaroad {

/// How often a request may be executed.
enum class request_kind {
    safe,         ///< Idempotent: may run any number of times.
    at_most_once, ///< Not idempotent.
    download,     ///< Idempotent, with a large response.
    upload,       ///< Not idempotent, with a large body.
};

/// @param kind the kind of a request.
/// @return true when the request may run more than once.
constexpr bool is_idempotent(request_kind kind)
{
    return kind == request_kind::safe || kind == request_kind::download;
}

/// One of the services among which a route distributes its requests.
struct weighted_service {
    std::string service;
    double weight = 1;
};

/// Maps requests of one host and path prefix to services.
struct route_rule {
    std::string name;
    std::string host;
    std::string prefix; ///< Begins and ends with a slash.
    request_kind kind = request_kind::at_most_once;
    std::chrono::milliseconds timeout{30000};
    std::chrono::milliseconds latency_objective{1000};
    int max_attempts = 1;   ///< Number of upstreams to which one request may be sent.
    int priority = 0;       ///< 0 is the highest priority.
    bool is_public = false; ///< Clients need no key, also when the plan has accounts.
    /// Empty when the service is not known: the route still covers its prefix, and its requests are
    /// refused.
    std::vector<weighted_service> targets;
};

/// What the operators declare of a service.
struct service_rule {
    std::string health_path;
    int max_connections = 0; ///< Connections that one upstream accepts; 0 for no limit.
};

/// Limits on requests of clients.
struct client_limits {
    std::size_t max_head_bytes = std::size_t{16} * 1024;
    std::uint64_t max_body_bytes = std::uint64_t{64} * 1024 * 1024;
    std::chrono::milliseconds head_timeout{3000};
    std::chrono::milliseconds idle_timeout{15000};
};

/// An invalid part of a plan.
struct plan_error {
    std::string part;    ///< Name of the part, as `route NAME`.
    std::string message; ///< What is wrong, and what is used instead.
};

/// One version of the fleet's routing configuration.
struct routing_plan {
    std::uint64_t version = 0;
    std::vector<route_rule> routes;
    std::map<std::string, service_rule> services;
    client_limits limits;
    std::vector<client_account> accounts;
    std::vector<plan_error> errors;
    bool has_all_routes = true;   ///< False when a route has no valid host or prefix.
    bool has_all_services = true; ///< False when the declared services could not be read.
    bool has_accounts = false;    ///< Clients identify themselves by the key of an account.
    bool has_all_accounts = true; ///< False when an account or one of its keys is not valid.
};

} // namespace galenaroad
