#include "relay/failure_belief.h"

#include <cmath>

namespace galenaroad {

failure_belief::failure_belief(failure_model model) : m_model(model), m_failing(model.failing_share)
{
}

void failure_belief::note_success(steady_time now)
{
    set(failing_after_success(now), now);
}

void failure_belief::note_failure(steady_time now)
{
    set(failing_after_failure(now), now);
}

double failure_belief::failing_after_success(steady_time now) const
{
    return updated(failing(now), 1 - m_model.failures_while_failing,
                   1 - m_model.failures_while_sound);
}

double failure_belief::failing_after_failure(steady_time now) const
{
    return updated(failing(now), m_model.failures_while_failing, m_model.failures_while_sound);
}

double failure_belief::failing(steady_time now) const
{
    if (!m_has_outcome) {
        return m_failing;
    }
    const std::chrono::duration<double> age = now - m_at;
    const std::chrono::duration<double> memory = m_model.memory;
    const double kept = std::exp(-age.count() / memory.count());
    return m_model.failing_share + (m_failing - m_model.failing_share) * kept;
}

double failure_belief::updated(double before, double likelihood_failing, double likelihood_sound)
{
    const double if_failing = before * likelihood_failing;
    const double if_sound = (1 - before) * likelihood_sound;
    return if_failing / (if_failing + if_sound);
}

void failure_belief::set(double failing, steady_time now)
{
    m_failing = failing;
    m_at = now;
    m_has_outcome = true;
}

} // namespace galenaroad
