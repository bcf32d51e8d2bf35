#pragma once

#include "base/clock.h"
#include "model/upstream.h"

#include <chrono>
#include <map>
#include <string>

namespace galenaroad {

/// What happened on the link to a peer instance.
enum class link_event {
    responded,         ///< Any message came back, an error response included.
    connection_failed, ///< No connection could be made, or it broke before the request was sent.
    timed_out,         ///< Nothing came back in time, on a new connection too.
};

/// Where the fault behind a failed attempt is looked for.
enum class fault_attribution { none, link, upstream };

/// Tells link faults from unhealthy upstreams, as seen from this daemon.
///
/// Connection failures, and time-outs of several upstreams of one instance, are link state.
class link_monitor {
public:
    /// A marked link without further failures is tried again after this time.
    static constexpr std::chrono::seconds failure_lifetime{5};
    /// Time-outs of different upstreams within this time belong to one fault.
    static constexpr std::chrono::seconds correlation_time{3};

    /// Notes an event on the link to an upstream's instance.
    /// @param upstream the upstream of the attempt.
    /// @param event what happened.
    /// @param now the current time.
    /// @return where the fault is looked for.
    fault_attribution record(const upstream_id& upstream, link_event event, steady_time now);

    /// @param instance the peer instance.
    /// @param now the current time.
    /// @return whether the link to the instance is marked as failed.
    bool is_failed(const std::string& instance, steady_time now) const;

    /// Tells whether a running attempt may count as evidence about the upstream. While an instance
    /// is silent as a whole, its link may be at fault, and only a new connection can tell.
    /// @param instance the peer instance.
    /// @param since when the attempt should have been answered at the earliest.
    /// @return whether the instance has answered anything since then.
    bool has_responded_since(const std::string& instance, steady_time since) const;

    /// Forgets the link to an instance that has departed.
    /// @param instance the peer instance.
    void forget(const std::string& instance);

private:
    struct link_record {
        bool failed = false;
        steady_time last_failure;
        std::map<std::string, steady_time> timed_out; ///< Latest time-out by upstream name.
    };

    std::map<std::string, link_record> m_links;
    std::map<std::string, steady_time> m_last_response; ///< Latest answer by instance.
};

} // namespace galenaroad
