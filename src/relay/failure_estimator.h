#pragma once

#include "base/clock.h"

namespace galenaroad {

/// How upstreams fail for a while although their health check is good.
struct failure_model {
    double failing_time_share = 0.3; ///< Part of the time that an upstream spends failing.
    std::chrono::milliseconds decay_time{3000}; ///< Time after which an observation says little.
    double failure_ratio_while_failing = 0.85;
    double failure_ratio_while_healthy = 0.02;
};

/// Probability that an upstream is failing now, from the outcomes of its own requests.
///
/// Answers the load where parts of a service fail most of their requests for seconds and each
/// upstream sees only a few requests a second: one failure already says much, and what it says
/// fades within seconds. A two-state hidden Markov filter does both.
class failure_estimator {
public:
    /// @param model how upstreams fail.
    explicit failure_estimator(failure_model model = {});

    /// Notes a request that succeeded.
    void record_success(steady_time now);

    /// Notes a request that failed through the upstream's own fault.
    void record_failure(steady_time now);

    /// @return the probability that the upstream is failing.
    double failure_probability(steady_time now) const;

    /// @return the same if a request succeeded now.
    double failure_probability_after_success(steady_time now) const;

    /// @return the same if a request failed now.
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
