#include "load/failure_estimator.h"

#include <cmath>

namespace galenaroad {

failure_estimator::failure_estimator(failure_model model)
    : m_model(model), m_failure_probability(model.failing_time_share)
{
}

void failure_estimator::record_success(steady_time now)
{
    set_estimate(failure_probability_after_success(now), now);
}

void failure_estimator::record_failure(steady_time now)
{
    set_estimate(failure_probability_after_failure(now), now);
}

double failure_estimator::failure_probability_after_success(steady_time now) const
{
    return posterior(failure_probability(now), 1 - m_model.failure_ratio_while_failing,
                     1 - m_model.failure_ratio_while_healthy);
}

double failure_estimator::failure_probability_after_failure(steady_time now) const
{
    return posterior(failure_probability(now), m_model.failure_ratio_while_failing,
                     m_model.failure_ratio_while_healthy);
}

double failure_estimator::failure_probability(steady_time now) const
{
    if (!m_has_outcome) {
        return m_failure_probability;
    }
    const std::chrono::duration<double> age = now - m_updated_at;
    const std::chrono::duration<double> decay_time = m_model.decay_time;
    const double decay = std::exp(-age.count() / decay_time.count());
    return m_model.failing_time_share +
           (m_failure_probability - m_model.failing_time_share) * decay;
}

double failure_estimator::posterior(double prior, double likelihood_if_failing,
                                    double likelihood_if_healthy)
{
    const double joint_failing = prior * likelihood_if_failing;
    const double joint_healthy = (1 - prior) * likelihood_if_healthy;
    return joint_failing / (joint_failing + joint_healthy);
}

void failure_estimator::set_estimate(double probability, steady_time now)
{
    m_failure_probability = probability;
    m_updated_at = now;
    m_has_outcome = true;
}

} // namespace galenaroad
