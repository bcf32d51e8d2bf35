#include "experiment/replay_server.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace galenaroad {

namespace {

constexpr double retry_ratio = 0.2;
constexpr double slow_load = 0.85; // Part of the slots from which upstreams turn slower.
constexpr double slow_factor = 1.25;

} // namespace

replay_server::replay_server(const replay_scenario& scenario, replay_place place, const clock& time,
                             owner_policy policy, random_engine& random)
    : owned(time, {retry_ratio, scenario.retry_extra}, policy),
      m_scenario(scenario),
      m_place(place),
      m_clock(time),
      m_start(time.steady_now())
{
    std::uniform_real_distribution<double> part(0, 1);
    const std::chrono::nanoseconds period = scenario.noise.period;
    m_noise_phase = std::chrono::nanoseconds(
        static_cast<std::int64_t>(part(random) * static_cast<double>(period.count())));
    const auto periods = static_cast<std::size_t>(scenario.length() / period) + 2;
    for (std::size_t number = 0; number < periods; ++number) {
        m_noisy_periods.push_back(part(random) < scenario.noise.share);
    }
    upstream_heartbeat beat;
    beat.id = record().address;
    beat.service = service().name;
    beat.slots = service().slots;
    beat.sequence = 1;
    owned.on_heartbeat(beat);
}

std::size_t replay_server::data_centre() const
{
    return static_cast<std::size_t>(m_place.number % m_scenario.data_centres);
}

owner_record replay_server::record() const
{
    const auto per_region = static_cast<std::size_t>(m_scenario.data_centres_per_region);
    owner_record made;
    made.address = "10.0.0." + std::to_string(m_place.index) + ":1";
    made.data_centre = "dc-" + std::to_string(data_centre());
    made.region = std::to_string(data_centre() / per_region);
    made.service = service().name;
    made.state = announced_state::ready;
    made.revision = 1;
    return made;
}

double replay_server::failing_share() const
{
    const auto* const by_fault = fault(replay_fault::effect::fails);
    const double sound_by_fault = by_fault == nullptr ? 1 : 1 - by_fault->strength;
    const double sound_by_noise = is_noisy() ? 1 - m_scenario.noise.failing_share : 1;
    return 1 - sound_by_fault * sound_by_noise;
}

double replay_server::rejecting_share() const
{
    const auto* const found = fault(replay_fault::effect::sheds);
    return found == nullptr ? 0 : found->strength;
}

double replay_server::slowness() const
{
    const auto* const found = fault(replay_fault::effect::slows);
    const double own = found == nullptr ? 1 : found->strength;
    const double load = static_cast<double>(running) / service().slots;
    return load > slow_load ? own * slow_factor : own;
}

bool replay_server::is_gone() const
{
    return fault(replay_fault::effect::leaves) != nullptr;
}

bool replay_server::has_free_slot() const
{
    return !is_gone() && running < service().slots;
}

bool replay_server::is_noisy() const
{
    const auto period = noise_period(m_clock.steady_now() - m_start);
    return period < m_noisy_periods.size() && m_noisy_periods[period];
}

std::size_t replay_server::noise_period(std::chrono::nanoseconds at) const
{
    const auto phased = std::max<std::chrono::nanoseconds>(at + m_noise_phase, {});
    return static_cast<std::size_t>(phased / m_scenario.noise.period);
}

bool replay_server::is_sound(std::chrono::nanoseconds from, std::chrono::nanoseconds until,
                             std::chrono::nanoseconds after_fault,
                             std::chrono::nanoseconds after_failing) const
{
    const auto last = std::min(noise_period(until) + 1, m_noisy_periods.size());
    for (auto period = noise_period(from - after_failing); period < last; ++period) {
        if (m_noisy_periods[period]) {
            return false;
        }
    }
    return std::none_of(m_scenario.faults.begin(), m_scenario.faults.end(), [&](const auto& each) {
        return is_hit_by(each) && each.from < until && each.until > from - after_fault;
    });
}

bool replay_server::is_hit_by(const replay_fault& fault) const
{
    return fault.service == m_place.service &&
           m_place.number < std::lround(fault.share * service().upstreams);
}

const replay_fault* replay_server::fault(replay_fault::effect what) const
{
    const auto now = m_clock.steady_now() - m_start;
    for (const auto& each : m_scenario.faults) {
        if (each.what == what && is_hit_by(each) && each.from <= now && now < each.until) {
            return &each;
        }
    }
    return nullptr;
}

} // namespace galenaroad
