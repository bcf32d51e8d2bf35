#pragma once

#include "base/clock.h"

#include <atomic>
#include <chrono>

namespace galenaroad {

/// Load of one upstream as this entry daemon knows it.
///
/// Traffic threads update it directly; it outlives the routing snapshots that refer to it.
class upstream_load {
public:
    /// Counts a request that this daemon sends to the upstream.
    void request_started() { m_outstanding.fetch_add(1, std::memory_order_relaxed); }

    /// Counts the end of a request that this daemon sent to the upstream.
    void request_finished() { m_outstanding.fetch_sub(1, std::memory_order_relaxed); }

    /// Stores the load that the owner reported on a response.
    /// @param slots_in_use slots in use, including those of other entry daemons.
    /// @param queued requests in the owner's queue.
    /// @param now the time of receipt.
    void report(int slots_in_use, int queued, steady_time now);

    /// Estimates the share of the slots in use.
    /// @param slots the upstream's slots.
    /// @param now the current time; reports older than the validity period are ignored.
    /// @return 0 when idle, 1 when all slots are in use, more when requests queue.
    double utilisation(int slots, steady_time now) const;

    /// @return requests of this daemon that the upstream has not answered yet.
    int outstanding() const { return m_outstanding.load(std::memory_order_relaxed); }

private:
    // Reports lose their meaning within a few service times (25 to 50 ms).
    static constexpr auto report_validity = std::chrono::milliseconds(500);

    std::atomic<int> m_outstanding{0};
    std::atomic<int> m_reported{0};
    std::atomic<steady_time::rep> m_reported_at{0};
};

} // namespace galenaroad
