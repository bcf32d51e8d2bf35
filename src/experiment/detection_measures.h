#pragma once

#include "experiment/detection_scenario.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace galenaroad {

/// What one run measures.
struct detection_result {
    std::optional<std::chrono::milliseconds> detection; ///< Empty when never detected.
    bool has_target = false;                            ///< Whether a detection is to be timed.
    std::uint64_t true_ejections = 0;
    std::uint64_t false_ejections = 0; ///< Healthy upstreams excluded.
    std::uint64_t false_holds = 0;     ///< Healthy upstreams steered around by some daemon.
    std::uint64_t floor_breaches = 0;
    std::uint64_t requests = 0;
    std::uint64_t attempts = 0;
    std::uint64_t unanswered = 0; ///< Without any answer at the deadline.
    std::uint64_t errors = 0;     ///< Answered with an error or a refusal.
    std::uint64_t store_writes = 0;
    std::vector<std::string> notes; ///< One line for each false ejection and breach.
};

/// Measures a run from outside the decision code, knowing the planned faults.
class detection_measures {
public:
    /// Length of the window over which the share of a sick upstream is measured.
    static constexpr std::chrono::milliseconds share_window{1000};
    /// A sick upstream with less than this part of its fair share counts as detected.
    static constexpr double detected_share = 0.1;
    /// Evidence of a fault may lead to an ejection for this time after the fault has ended.
    static constexpr std::chrono::seconds fault_echo{10};

    /// @param parameters the run's parameters.
    /// @param plan the planned faults.
    detection_measures(const detection_parameters& parameters,
                       const std::vector<planned_fault>& plan);

    /// Counts an attempt that an entry daemon sends.
    void attempt_sent(int service, int instance, std::chrono::nanoseconds elapsed);

    /// Compares what a daemon excludes or holds with the truth.
    /// @param daemon the daemon.
    /// @param service the service.
    /// @param excluded for each instance whether the daemon excludes its upstream.
    /// @param held for each instance whether the daemon holds its upstream.
    /// @param live for each instance whether the daemon knows its upstream as live.
    void check_daemon(int daemon, int service, const std::vector<bool>& excluded,
                      const std::vector<bool>& held, const std::vector<bool>& live,
                      std::chrono::nanoseconds elapsed);

    /// Computes what can only be known at the end.
    void finish();

    detection_result result;

private:
    static constexpr std::chrono::milliseconds bin{50};

    bool was_faulty(int service, int instance, std::chrono::nanoseconds elapsed) const;
    void check_upstream(int service, int instance, bool excluded, bool held,
                        std::chrono::nanoseconds elapsed);
    void time_detection();

    detection_parameters m_parameters;
    std::vector<planned_fault> m_plan;
    std::vector<std::uint64_t> m_target_bins;  ///< Attempts at the target by time.
    std::vector<std::uint64_t> m_service_bins; ///< Attempts at its service by time.
    std::vector<bool> m_excluded;              ///< By service and instance: counted already.
    std::vector<bool> m_held;
    std::vector<std::chrono::nanoseconds> m_last_excluded;
    std::vector<std::chrono::nanoseconds> m_last_held;
    std::vector<bool> m_below_floor; ///< By daemon and service.
};

} // namespace galenaroad
