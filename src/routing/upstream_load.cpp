#include "routing/upstream_load.h"

#include <algorithm>

namespace galenaroad {

void upstream_load::report(int slots_in_use, int queued, steady_time now)
{
    m_reported.store(slots_in_use + queued, std::memory_order_relaxed);
    m_reported_at.store(now.time_since_epoch().count(), std::memory_order_relaxed);
}

double upstream_load::utilisation(int slots, steady_time now) const
{
    const steady_time reported_at(steady_time::duration(m_reported_at.load()));
    const bool fresh = now - reported_at <= report_validity;
    const int reported = fresh ? m_reported.load(std::memory_order_relaxed) : 0;
    const int in_use = std::max(reported, outstanding());
    return static_cast<double>(in_use) / std::max(slots, 1);
}

} // namespace galenaroad
