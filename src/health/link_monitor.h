#pragma once

#include "base/clock.h"
#include "model/upstream.h"

#include <chrono>
#include <map>
#include <string>

namespace galenaroad {

/// Result of an attempt, as far as the network link to the peer instance is concerned.
enum class link_event {
    responded,         ///< Any message was received, including an error response.
    connection_failed, ///< No connection was made, or it was lost before the request was sent.
    timed_out,         ///< Nothing was received in time, not even on a new connection.
};

/// What a failed attempt is attributed to.
enum class fault_attribution { none, link, upstream };

/// Distinguishes faults of the link to an instance from unhealthy upstreams, as seen by this
/// daemon.
///
/// Connection failures, and time-outs of several upstreams of one instance, are attributed to the
/// link.
class link_monitor {
public:
    /// A failed link without further failures is used again after this time.
    static constexpr std::chrono::seconds failure_lifetime{5};
    /// Time-outs of several upstreams of an instance within this time are attributed to its link.
    static constexpr std::chrono::seconds correlation_time{3};

    /// Records an event on the link to an upstream's instance.
    /// @param upstream the upstream of the attempt.
    /// @param event what happened.
    /// @param now the current time.
    /// @return what a failure is attributed to.
    fault_attribution record(const upstream_id& upstream, link_event event, steady_time now);

    /// @param instance the peer instance.
    /// @param now the current time.
    /// @return whether the link to the instance is regarded as failed.
    bool is_failed(const std::string& instance, steady_time now) const;

    /// Returns whether a running attempt may count as evidence about the upstream. While nothing is
    /// received from an instance, its link may be at fault, which only a new connection can show.
    /// @param instance the peer instance.
    /// @param since the earliest time at which a response to the attempt was possible.
    /// @return whether any response was received from the instance since then.
    bool has_responded_since(const std::string& instance, steady_time since) const;

    /// Removes the state of the link to an instance that has left the fleet.
    /// @param instance the peer instance.
    void forget(const std::string& instance);

private:
    struct link_record {
        bool failed = false;
        steady_time last_failure;
        std::map<std::string, steady_time> timed_out; ///< Latest time-out by upstream name.
    };

    std::map<std::string, link_record> m_links;
    std::map<std::string, steady_time> m_last_response; ///< By instance.
};

} // namespace galenaroad
