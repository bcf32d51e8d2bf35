#include "relay/failure_belief.h"

#include <cmath>

namespace galenaroad {

failure_belief::failure_belief(failure_model model) : m_model(model), m_failing(model.failing_share)
{
}

void failure_belief::note_success(steady_time now)
{
    update(now, 1 - m_model.failures_while_failing, 1 - m_model.failures_while_sound);
}

void failure_belief::note_failure(steady_time now)
{
    update(now, m_model.failures_while_failing, m_model.failures_while_sound);
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

void failure_belief::update(steady_time now, double likelihood_failing, double likelihood_sound)
{
    const double before = failing(now);
    const double if_failing = before * likelihood_failing;
    const double if_sound = (1 - before) * likelihood_sound;
    m_failing = if_failing / (if_failing + if_sound);
    m_at = now;
    m_has_outcome = true;
}

} // namespace galenaroad
