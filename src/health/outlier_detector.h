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

/// State of an upstream according to the detector.
enum class health_state { healthy, suspect, unhealthy };

/// Verdict on an upstream, with the evidence for it.
struct health_verdict {
    health_state state = health_state::healthy;
    double preference = 1.0;                  ///< Preference weight, above 0 and at most 1.
    double failure_evidence = 0;              ///< Log-likelihood ratio of the failure test.
    double latency_evidence = 0;              ///< Log-likelihood ratio of the latency test.
    double latency_ratio = 1;                 ///< Service time divided by the peers' median.
    request_class work = request_class::read; ///< Request class with the strongest evidence.
    std::size_t samples = 0; ///< Attempts that contribute to the strongest evidence.

    /// @return the greater of the two evidence values.
    double evidence() const;
    /// @return one line for logs and for the reason of an ejection.
    std::string reason() const;
};

/// Compares the upstreams of one service with one another, by request class.
///
/// Failures are tested by a sequential probability ratio test against the peers' failure ratio,
/// service times by a clipped likelihood ratio against the peers' median over the same period.
/// When many upstreams change at the same time, none of them is an outlier.
class outlier_detector {
public:
    /// Weight of an unhealthy upstream that is not ejected: it receives probe requests only.
    static constexpr double unhealthy_preference = 0.01;

    explicit outlier_detector(const detection_settings& settings);

    /// Adds an upstream, or discards the state of a known one, and starts its cold start.
    /// @param id the upstream.
    /// @param now the time of the announcement.
    void on_announced(const upstream_id& id, steady_time now);

    /// Adds an upstream without a cold start, because it was serving before this daemon knew it.
    /// @param id the upstream.
    void assume_warm(const upstream_id& id);

    /// Removes an upstream that has left the fleet.
    /// @param id the upstream.
    void on_departed(const upstream_id& id);

    /// Records an attempt that ended. Attempts that started during the cold start are counted but
    /// do not become evidence.
    /// @param id the upstream; an unknown one is ignored.
    /// @param attempt the attempt.
    /// @param now the time at which it ended.
    void record(const upstream_id& id, const observation& attempt, steady_time now);

    /// Replaces the running attempts of an upstream. A caller passes only attempts since whose
    /// start its daemon has received a response from the upstream's instance: then the link works,
    /// and the delay is the upstream's. See link_monitor::has_responded_since().
    /// @param id the upstream.
    /// @param open the running attempts.
    void set_open_attempts(const upstream_id& id, std::vector<open_attempt> open);

    /// Discards the evidence about an upstream, because its link was at fault or its probing phase
    /// starts.
    /// @param id the upstream.
    void discard_evidence(const upstream_id& id);

    /// Sets the reference that the service's evaluator computed from the statistics of all owners.
    /// It is used while this daemon itself sees too few peers, for example at low load.
    /// @param id the upstream.
    /// @param work the request class.
    /// @param reference the reference, computed without the upstream itself.
    /// @param now the time of receipt.
    void set_reference(const upstream_id& id, request_class work, const peer_reference& reference,
                       steady_time now);

    /// Evaluates all upstreams.
    /// @param now the current time.
    /// @return a verdict for each known upstream.
    std::map<upstream_id, health_verdict> evaluate(steady_time now);

    /// Returns the recent attempts of an upstream.
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
    /// Repeats a test with a reference over the period of its evidence and returns the smaller
    /// result. Without such a reference, the evidence is limited to a suspect verdict.
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
