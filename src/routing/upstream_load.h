#pragma once

#include "base/clock.h"

#include <atomic>
#include <chrono>

namespace galenaroad {

/// Load of one upstream as this entry daemon knows it.
///
/// Thread-safe: traffic threads update it directly. It is shared between routing snapshots.
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

    /// Estimates the utilisation of the slots.
    /// @param slots the upstream's slots.
    /// @param now the current time; reports older than the validity period are ignored.
    /// @return 0 when idle, 1 when all slots are in use, more when requests queue.
    double utilisation(int slots, steady_time now) const;

    /// @return the number of requests of this daemon that are in progress at the upstream.
    int outstanding() const { return m_outstanding.load(std::memory_order_relaxed); }

private:
    // A report is outdated after a few service times, which are 25 to 50 ms.
    static constexpr auto report_validity = std::chrono::milliseconds(500);

    std::atomic<int> m_outstanding{0};
    std::atomic<int> m_reported{0};
    std::atomic<steady_time::rep> m_reported_at{0};
};

} // namespace galenaroad
