#pragma once

#include "base/clock.h"

namespace galenaroad {

/// Model of gray failures: an upstream fails temporarily while its health check succeeds.
struct failure_model {
    double failing_time_share = 0.3; ///< Share of the time that an upstream spends failing.
    std::chrono::milliseconds decay_time{
        3000}; ///< Time constant with which the weight of an observation decays.
    double failure_ratio_while_failing = 0.85;
    double failure_ratio_while_healthy = 0.02;
};

/// Estimates the probability that an upstream is currently failing from the outcomes of its
/// requests.
///
/// A failing upstream fails most of its requests for some seconds, and an upstream may see only a
/// few requests per second. A single failure is therefore strong evidence that becomes outdated
/// within seconds, which a two-state hidden Markov filter models.
class failure_estimator {
public:
    /// @param model the failure model.
    explicit failure_estimator(failure_model model = {});

    /// Records a successful request.
    void record_success(steady_time now);

    /// Records a request that failed through the fault of the upstream.
    void record_failure(steady_time now);

    /// @return the probability that the upstream is failing.
    double failure_probability(steady_time now) const;

    /// @return the failure probability as it would be if a request succeeded now.
    double failure_probability_after_success(steady_time now) const;

    /// @return the failure probability as it would be if a request failed now.
    double failure_probability_after_failure(steady_time now) const;

private:
    static double posterior(double prior, double likelihood_if_failing,
                            double likelihood_if_healthy);
    void set_estimate(double probability, steady_time now);

    failure_model m_model;
    double m_failure_probability = 0;
    steady_time m_updated_at;
    bool m_has_outcome = false;
};

} // namespace galenaroad
