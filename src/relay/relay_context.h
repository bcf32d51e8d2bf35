#pragma once

#include "fleet/owner_directory.h"
#include "fleet/plan_replica.h"
#include "load/owned_upstream.h"
#include "load/owner_ranking.h"
#include "load/response_size_estimator.h"
#include "load/split_selector.h"
#include "load/stop_window.h"
#include "net/event_loop.h"
#include "net/http_client.h"
#include "relay/buffer_budget.h"
#include "relay/header_names.h"
#include "relay/relay_metrics.h"
#include "relay/response_store.h"
#include "telemetry/decision_log.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace galenaroad {

class quota_exchange;

/// State shared by the requests of one daemon. Owned by relay_node; used only on its event loop.
struct relay_context {
    event_loop& loop;
    http_client& peers;     ///< Connections to the owners.
    http_client& upstreams; ///< Connections to the owned upstream.
    decision_log& log;
    relay_metrics& metrics;
    header_names names;
    daemon_location location;
    owner_directory directory;
    owner_ranking ranking;
    split_selector splits;
    owned_upstream owned;
    response_store responses; ///< To at-most-once requests of the owned upstream.
    /// The latest token of each owner, by its address; see response_store.
    std::map<std::string, std::string> owner_tokens;
    std::function<std::string()> new_attempt_id; ///< Unique across daemons and restarts.
    std::string own_service;                     ///< Service whose upstream runs on this instance.
    plan_replica plans;                          ///< The plan in force.
    std::uint64_t unreadable_plan_version = 0;   ///< Highest version that could not be read.
    bool has_plan_source = false; ///< The store or a fresh store reader vouches for the plan.
    response_size_estimator response_sizes; ///< Estimates by route.
    /// When a request that the owned upstream may have sent last failed. The upstream's own
    /// response then fails for a reason outside the upstream.
    steady_time local_failure_at;
    buffer_budget response_buffers; ///< For the bodies of responses that are held whole.
    stop_window stopping;           ///< Which requests are still started during a planned stop.
    /// Called when a peer has reported the version of its plan.
    std::function<void(std::uint64_t version, const std::string& address)> on_plan_reported;
    /// Called when an owner has reported the health of its upstream.
    std::function<void(const std::string& address, const owner_health& health)> on_health_reported;
    /// Assigns free slots to waiting requests.
    std::function<void()> run_waiting;
    quota_exchange* quotas = nullptr; ///< Never null once the node is complete.

    /// @return host of this instance.
    std::string_view own_host() const
    {
        return std::string_view(location.address).substr(0, location.address.find(':'));
    }

    /// @return the version of the plan in force; 0 without one.
    std::uint64_t plan_version() const { return plans.version(); }

    /// @return the current time.
    steady_time now() const { return loop.time().steady_now(); }
};

} // namespace galenaroad
