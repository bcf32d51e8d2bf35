#include "relay/service_pressure.h"

#include <cmath>

namespace galenaroad {

namespace {

using namespace std::chrono_literals;

// Long enough for a daemon that serves a few requests a second to see several.
constexpr auto memory = 4s;
constexpr double high_share = 0.09;
// A single failure among few requests says nothing.
constexpr double least_unserved = 1.5;
// Neighbours tell their requests several times within this time.
constexpr auto neighbour_validity = 2s;

} // namespace

void service_pressure::note(bool is_served, steady_time now)
{
    m_own = own(now);
    m_own.all += 1;
    m_own.unserved += is_served ? 0 : 1;
    m_at = now;
}

void service_pressure::note_neighbour(const std::string& daemon, const request_ends& ends,
                                      steady_time now)
{
    for (auto each = m_neighbours.begin(); each != m_neighbours.end();) {
        const bool is_old = now - each->second.told_at > neighbour_validity;
        each = is_old ? m_neighbours.erase(each) : std::next(each);
    }
    m_neighbours[daemon] = {ends, now};
}

request_ends service_pressure::own(steady_time now) const
{
    const std::chrono::duration<double> age = now - m_at;
    const std::chrono::duration<double> fading = memory;
    const double kept = std::exp(-age.count() / fading.count());
    return {m_own.all * kept, m_own.unserved * kept};
}

bool service_pressure::is_high(steady_time now) const
{
    auto sum = own(now);
    for (const auto& [daemon, each] : m_neighbours) {
        if (now - each.told_at <= neighbour_validity) {
            sum.all += each.ends.all;
            sum.unserved += each.ends.unserved;
        }
    }
    return sum.unserved >= least_unserved && sum.unserved > sum.all * high_share;
}

} // namespace galenaroad
