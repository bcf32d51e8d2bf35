#pragma once

#include "base/random_engine.h"

#include <atomic>
#include <chrono>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>

namespace galenaroad {

/// Faults that a stand-in backend server shows now.
struct standin_fault_settings {
    double latency_factor = 1.0;
    std::chrono::milliseconds extra_latency{0};
    double failure_share = 0.0; ///< Share of requests answered with 500, from 0 to 1.
    bool silent = false;        ///< Accepts work and never answers it.
    bool truncate = false;      ///< Ends answers early.
    bool lying_health = false;  ///< The health endpoint reports success whatever happens.
    bool frozen = false;        ///< Nothing proceeds: no work, probes or announcements.
    std::uint64_t seed = 1;     ///< Start of the random sequence.
};

/// Holds the faults and draws the random numbers that they need. Safe for use by several threads.
class standin_backend_server_faults {
public:
    /// Changes the faults that a JSON object names and keeps the others.
    /// @param text the object, for example `{"latency_factor": 20}`.
    /// @return what is wrong with it, or an empty text.
    std::string apply(const std::string& text);

    /// @return all faults as a JSON object.
    nlohmann::json json() const;

    /// @return all faults.
    standin_fault_settings settings() const;

    /// Draws the time that a request takes.
    /// @param service_time the mean without faults.
    /// @return the time with variation and faults.
    std::chrono::microseconds draw_latency(std::chrono::microseconds service_time);

    /// Draws whether something happens.
    /// @param share the probability, from 0 to 1.
    bool draw(double share);

private:
    mutable std::mutex m_mutex;
    standin_fault_settings m_settings;
    random_engine m_engine{1};
};

} // namespace galenaroad
