#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace galenaroad {

/// Range of IPv4 addresses and ports in which a joining daemon looks for other daemons.
struct join_range {
    std::string first_address; ///< Dotted IPv4 address.
    std::string last_address;
    std::uint16_t first_port = 0;
    std::uint16_t last_port = 0;
};

/// Timeouts, intervals and limits of the membership protocol; see docs/design.md, section 4.8.
struct membership_settings {
    std::vector<join_range> join_ranges;
    std::chrono::milliseconds ping_interval{1000};        ///< Members of the same data centre.
    std::chrono::milliseconds remote_ping_interval{5000}; ///< Members of other data centres.
    std::chrono::milliseconds indirect_after{300};
    int indirect_pings = 3;
    std::chrono::milliseconds suspicion{3000};
    std::chrono::milliseconds gossip_interval{
        200}; ///< Between update messages while prompt updates are queued.
    std::chrono::milliseconds gossip_spacing{50}; ///< Minimum time between update messages.
    int gossip_fanout = 3;
    double local_share = 0.75; ///< Share of update messages sent within the sender's region.
    double sends_per_log2 = 3; ///< Sends of an update at most, per log2(members).
    std::size_t update_budget_bytes = 1200;
    std::chrono::milliseconds publish_interval{
        1000}; ///< Minimum time between publications of this daemon's record.
    std::chrono::milliseconds announcement_expiry{6000};
    std::chrono::milliseconds join_interval{200};
    std::chrono::milliseconds early_probe_interval{1000}; ///< Of join ranges, in the first 30 s.
    std::chrono::milliseconds retry_interval{10000};      ///< Of dead members and join ranges.
    std::chrono::hours forget_dead{24};
    std::chrono::milliseconds synchronise_interval{30000};
};

} // namespace galenaroad
