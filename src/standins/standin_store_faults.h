#pragma once

#include "base/random_engine.h"
#include "platform/store_faults.h"

#include <nlohmann/json.hpp>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <mutex>

namespace galenaroad {

/// Faults and counters of a stand-in store, set and read over HTTP. Safe for use by several
/// threads.
class standin_store_faults {
public:
    /// Changes the settings that the document names.
    /// @param document an object with any of `unavailable`, `latency_ms`, `lost_responses`, `seed`.
    /// @return false when a member is unknown or has a wrong type or range; nothing is changed
    /// then.
    bool apply(const nlohmann::json& document);

    /// @return the settings.
    nlohmann::json settings() const;

    /// @return the numbers of reads and writes received, including those that failed.
    nlohmann::json counters() const;

    /// @return hooks for an in-memory store; this object must outlive the store.
    store_faults hooks();

private:
    void count(const store_call& call);
    void wait() const;
    bool lose_response();

    mutable std::mutex m_mutex;
    bool m_unavailable = false;
    std::chrono::milliseconds m_latency{0};
    double m_lost_responses = 0;
    std::uint64_t m_seed = 1;
    random_engine m_random{1};
    std::atomic<std::uint64_t> m_reads{0};
    std::atomic<std::uint64_t> m_writes{0};
};

} // namespace galenaroad
