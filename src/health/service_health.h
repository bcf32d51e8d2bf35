#pragma once

#include "health/hold_timer.h"
#include "health/outlier_detector.h"

#include <chrono>
#include <map>
#include <string>
#include <vector>

namespace galenaroad {

/// What an owner reports about its upstream: to callers with each response, and to the evaluator.
struct owner_assessment {
    double preference = 1.0;                     ///< Above 0 and at most 1.
    std::chrono::milliseconds hold_remaining{0}; ///< Zero when the upstream is not on hold.
};

/// An upstream that should be ejected, with the reason.
struct ejection_candidate {
    upstream_id upstream;
    std::string reason;
};

/// Health of the upstreams of one service, as this daemon sees it.
///
/// Combines the daemon's own detector, the owners' assessments and the holds into one preference
/// weight for each upstream, and lists the upstreams that the service's evaluator should eject.
class service_health {
public:
    /// Time for which the preference in an owner's assessment is used.
    static constexpr std::chrono::seconds assessment_lifetime{1};

    explicit service_health(const detection_settings& settings);

    /// Adds an upstream that was just announced, and starts its cold start.
    /// @param id the upstream.
    /// @param now the time of the announcement.
    void on_announced(const upstream_id& id, steady_time now);

    /// Adds an upstream without a cold start, because it was serving before this daemon knew it.
    /// @param id the upstream.
    void assume_warm(const upstream_id& id);

    /// Removes an upstream that has left the fleet.
    /// @param id the upstream.
    void on_departed(const upstream_id& id);

    /// Passes an ended attempt to the detector; see outlier_detector::record().
    void record(const upstream_id& id, const observation& attempt, steady_time now);

    /// Passes open attempts to the detector; see outlier_detector::set_open_attempts().
    void set_open_attempts(const upstream_id& id, std::vector<open_attempt> open);

    /// Discards the evidence about an upstream whose link is at fault.
    /// @param id the upstream.
    void discard_evidence(const upstream_id& id);

    /// Applies the assessment that an upstream's owner has reported.
    /// @param id the upstream.
    /// @param assessment the assessment.
    /// @param now the time of receipt.
    void on_owner_assessment(const upstream_id& id, const owner_assessment& assessment,
                             steady_time now);

    /// Lets an upstream return by probe requests and slow start, because its ejection has ended.
    /// @param id the upstream.
    /// @param now the current time.
    void on_ejection_ended(const upstream_id& id, steady_time now);

    /// Passes a reference to the detector; see outlier_detector::set_reference().
    void set_reference(const upstream_id& id, request_class work, const peer_reference& reference,
                       steady_time now)
    {
        m_detector.set_reference(id, work, reference, now);
    }

    /// @param id the upstream.
    /// @return its recent attempts, or null for an unknown upstream.
    const upstream_window* window(const upstream_id& id) const { return m_detector.window(id); }

    /// Evaluates all upstreams. Call it about every 100 ms.
    /// @param now the current time.
    void evaluate(steady_time now);

    /// @param id the upstream.
    /// @param now the current time.
    /// @return the preference weight, above 0 and at most 1.
    double preference(const upstream_id& id, steady_time now) const;

    /// @param id an upstream that this daemon owns.
    /// @param now the current time.
    /// @return the assessment to report; the default one for an unknown upstream.
    owner_assessment assessment_of(const upstream_id& id, steady_time now) const;

    /// @param id the upstream.
    /// @return the latest verdict, or null for an unknown upstream.
    const health_verdict* verdict(const upstream_id& id) const;

    /// @param now the current time.
    /// @return the upstreams that are on hold, as candidates for the service's evaluator.
    std::vector<ejection_candidate> ejection_candidates(steady_time now) const;

private:
    struct tracked_upstream {
        hold_timer hold;
        hold_phase phase = hold_phase::serving;
        health_verdict verdict;
        std::string reason; ///< Reason of the current hold.
        double reported_preference = 1.0;
        steady_time assessment_end{};
    };

    void update_phase(const upstream_id& id, tracked_upstream& tracked, steady_time now);

    outlier_detector m_detector;
    std::map<upstream_id, tracked_upstream> m_upstreams;
};

} // namespace galenaroad
