#pragma once

#include "health/detection_settings.h"
#include "health/sequential_ratio.h"
#include "health/upstream_window.h"
#include "model/upstream.h"

#include <array>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace galenaroad {

class peer_group;

/// What the detector thinks of an upstream.
enum class health_state { healthy, suspect, unhealthy };

/// Verdict on an upstream with the evidence behind it.
struct health_verdict {
    health_state state = health_state::healthy;
    double preference = 1.0;                  ///< Preference weight, above 0 and at most 1.
    double failure_evidence = 0;              ///< Log-likelihood ratio of the failure test.
    double latency_evidence = 0;              ///< Log-likelihood ratio of the latency test.
    double latency_ratio = 1;                 ///< Service time compared with the peers' median.
    request_class work = request_class::read; ///< Class with the strongest evidence.
    std::size_t samples = 0;                  ///< Attempts that the strongest evidence rests on.

    /// @return the stronger of the two evidences.
    double evidence() const;
    /// @return one line for logs and for the reason in an ejection.
    std::string reason() const;
};

/// Compares the upstreams of one service with one another, by request class.
///
/// Failures are judged by a sequential probability ratio test against the peers' failure ratio,
/// service times by a clipped likelihood ratio against the peers' median over the same period.
/// When many upstreams move together, none of them is an outlier.
class outlier_detector {
public:
    /// Weight of a sick upstream that is not ejected: enough for trial traffic.
    static constexpr double unhealthy_preference = 0.01;

    explicit outlier_detector(const detection_settings& settings);

    /// Adds an upstream or marks it as announced again, which starts a cold start.
    /// @param id the upstream.
    /// @param now the time of the announcement.
    void on_announced(const upstream_id& id, steady_time now);

    /// Marks an upstream as warm: for upstreams that were serving before this daemon started.
    /// @param id the upstream.
    void assume_warm(const upstream_id& id);

    /// Removes an upstream that has departed.
    /// @param id the upstream.
    void on_departed(const upstream_id& id);

    /// Adds an attempt that ended. Attempts during the cold start are counted but are no evidence.
    /// @param id the upstream; unknown ones are ignored.
    /// @param attempt the attempt.
    /// @param now the time at which it ended.
    void record(const upstream_id& id, const observation& attempt, steady_time now);

    /// Replaces the attempts of an upstream that are still running. A caller reports only those
    /// since whose start the upstream's instance has answered: the link works, and the upstream
    /// takes its time. See link_monitor::has_responded_since().
    /// @param id the upstream.
    /// @param open the running attempts.
    void set_open_attempts(const upstream_id& id, std::vector<open_attempt> open);

    /// Drops the evidence about an upstream: its link was at fault, or it starts a trial.
    /// @param id the upstream.
    void discard_evidence(const upstream_id& id);

    /// Sets the reference that the service's evaluator computed from all owners' levels. It is used
    /// while this daemon itself sees too few peers, as with little traffic.
    /// @param id the upstream.
    /// @param work the request class.
    /// @param reference the reference without the upstream itself.
    /// @param now the time of receipt.
    void set_reference(const upstream_id& id, request_class work, const peer_reference& reference,
                       steady_time now);

    /// Judges all upstreams.
    /// @param now the current time.
    /// @return a verdict for each known upstream.
    std::map<upstream_id, health_verdict> evaluate(steady_time now);

    /// Finds the window of an upstream.
    /// @param id the upstream.
    /// @return the window, or null for an unknown upstream.
    const upstream_window* window(const upstream_id& id) const;

private:
    struct received_reference {
        peer_reference reference;
        steady_time received_at;
        bool is_set = false;
    };
    struct candidate {
        upstream_window window;
        std::vector<open_attempt> open;
        steady_time warm_at;
        std::array<received_reference, upstream_window::class_count> received;
    };

    void evaluate_class(request_class work, steady_time now,
                        std::map<upstream_id, health_verdict>& verdicts) const;
    health_verdict evaluate_upstream(const candidate& known, const peer_group& group,
                                     std::size_t position, request_class work,
                                     steady_time now) const;
    /// Repeats a test against the peers over the period of its evidence.
    test_evidence
    confirm(test_evidence found, const peer_group& group, std::size_t position,
            const received_reference& received,
            const std::function<test_evidence(const sequential_ratio&)>& run_test) const;
    double suspect_limit() const;
    void limit_to_suspect(health_verdict& verdict) const;
    void classify_all(std::map<upstream_id, health_verdict>& verdicts) const;

    detection_settings m_settings;
    std::map<upstream_id, candidate> m_candidates;
};

} // namespace galenaroad
