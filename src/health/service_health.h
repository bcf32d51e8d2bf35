#pragma once

#include "health/hold_timer.h"
#include "health/outlier_detector.h"

#include <chrono>
#include <map>
#include <string>
#include <vector>

namespace galenaroad {

/// What an owner tells its callers about an upstream, carried on responses.
struct owner_assessment {
    double preference = 1.0;
    std::chrono::milliseconds hold_remaining{0}; ///< Zero when the owner does not hold it.
};

/// An upstream that should be ejected, with the reason.
struct ejection_candidate {
    upstream_id upstream;
    std::string reason;
};

/// A daemon's view of the health of one service's upstreams.
///
/// Combines its own detector, the owners' reports and the hold times to one preference weight for
/// each upstream, and to the list of upstreams that the service's evaluator proposes to eject.
class service_health {
public:
    /// An owner's lowered preference without a hold counts for this time.
    static constexpr std::chrono::seconds report_lifetime{1};

    explicit service_health(const detection_settings& settings);

    /// Adds an upstream that was just announced; it starts with a cold start.
    /// @param id the upstream.
    /// @param now the time of the announcement.
    void on_announced(const upstream_id& id, steady_time now);

    /// Adds an upstream that was serving before this daemon knew it.
    /// @param id the upstream.
    void assume_warm(const upstream_id& id);

    /// Removes an upstream.
    /// @param id the upstream.
    void on_departed(const upstream_id& id);

    /// Passes observations to the detector; see outlier_detector::record().
    void record(const upstream_id& id, const observation& attempt, steady_time now);

    /// Passes open attempts to the detector; see outlier_detector::set_open_attempts().
    void set_open_attempts(const upstream_id& id, std::vector<open_attempt> open);

    /// Drops the evidence about an upstream whose link is at fault.
    /// @param id the upstream.
    void discard_evidence(const upstream_id& id);

    /// Takes over what an upstream's owner reported on a response.
    /// @param id the upstream.
    /// @param assessment the assessment.
    /// @param now the time of receipt.
    void on_owner_assessment(const upstream_id& id, const owner_assessment& assessment,
                             steady_time now);

    /// Notes that the ejection of an upstream has ended: it returns by slow start.
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
    /// @return its window, or null for an unknown upstream.
    const upstream_window* window(const upstream_id& id) const { return m_detector.window(id); }

    /// Judges all upstreams. To be called about every 100 ms.
    /// @param now the current time.
    void evaluate(steady_time now);

    /// @param id the upstream.
    /// @param now the current time.
    /// @return the preference weight, above 0 and at most 1.
    double preference(const upstream_id& id, steady_time now) const;

    /// @param id an upstream that this daemon owns.
    /// @param now the current time.
    /// @return what to report on responses.
    owner_assessment assessment_of(const upstream_id& id, steady_time now) const;

    /// @param id the upstream.
    /// @return the latest verdict, or null for an unknown upstream.
    const health_verdict* verdict(const upstream_id& id) const;

    /// @param now the current time.
    /// @return the upstreams that are held, for the service's evaluator.
    std::vector<ejection_candidate> ejection_candidates(steady_time now) const;

private:
    struct tracked_upstream {
        hold_timer hold;
        hold_phase phase = hold_phase::serving;
        health_verdict verdict;
        std::string reason; ///< Of the current hold.
        double reported_preference = 1.0;
        steady_time report_end{};
    };

    void update_phase(const upstream_id& id, tracked_upstream& tracked, steady_time now);

    outlier_detector m_detector;
    std::map<upstream_id, tracked_upstream> m_upstreams;
};

} // namespace galenaroad
