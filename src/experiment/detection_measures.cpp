#include "experiment/detection_measures.h"

#include <algorithm>
#include <sstream>

namespace galenaroad {

namespace {

constexpr int instances = detection_parameters::instances;
constexpr std::size_t all_upstreams =
    static_cast<std::size_t>(detection_parameters::services) * detection_parameters::instances;
// An exclusion that some daemon still honours within this time is the same exclusion.
constexpr std::chrono::seconds same_exclusion{2};

std::string place(const char* what, int service, int instance, std::chrono::nanoseconds elapsed)
{
    std::ostringstream text;
    text << what << " service " << service << " instance " << instance << " at "
         << std::chrono::duration<double>(elapsed).count() << " s";
    return text.str();
}

} // namespace

detection_measures::detection_measures(const detection_parameters& parameters,
                                       const std::vector<planned_fault>& plan)
    : m_parameters(parameters),
      m_plan(plan),
      m_target_bins(static_cast<std::size_t>(parameters.duration / bin) + 1),
      m_service_bins(m_target_bins.size()),
      m_excluded(all_upstreams),
      m_held(all_upstreams),
      m_last_excluded(all_upstreams, -std::chrono::hours(1)),
      m_last_held(all_upstreams, -std::chrono::hours(1)),
      m_below_floor(all_upstreams)
{
    if (plan.empty()) {
        return;
    }
    const fault_kind kind = plan.front().kind;
    result.has_target = parameters.scenario != scenario_kind::combined &&
                        kind != fault_kind::one_way_cut && kind != fault_kind::overload;
}

void detection_measures::attempt_sent(int service, int instance, std::chrono::nanoseconds elapsed)
{
    ++result.attempts;
    if (!result.has_target || service != m_plan.front().service) {
        return;
    }
    const auto index = static_cast<std::size_t>(elapsed / bin);
    if (index < m_service_bins.size()) {
        ++m_service_bins[index];
        m_target_bins[index] += instance == m_plan.front().instance ? 1U : 0U;
    }
}

void detection_measures::check_daemon(int daemon, int service, const std::vector<bool>& excluded,
                                      const std::vector<bool>& held, const std::vector<bool>& live,
                                      std::chrono::nanoseconds elapsed)
{
    int live_slots = 0;
    bool excludes_live = false;
    for (int instance = 0; instance < instances; ++instance) {
        const auto index = static_cast<std::size_t>(instance);
        if (!live[index]) {
            continue;
        }
        live_slots += excluded[index] ? 0 : m_parameters.business.slots;
        excludes_live = excludes_live || excluded[index];
        check_upstream(service, instance, excluded[index], held[index], elapsed);
    }
    const std::size_t slot = upstream_index(service, daemon);
    const bool is_below = excludes_live && live_slots < m_parameters.floor_slots();
    if (is_below && !m_below_floor[slot]) {
        ++result.floor_breaches;
        result.notes.push_back(place("floor breach", service, daemon, elapsed));
    }
    m_below_floor[slot] = is_below;
}

void detection_measures::check_upstream(int service, int instance, bool excluded, bool held,
                                        std::chrono::nanoseconds elapsed)
{
    const std::size_t slot = upstream_index(service, instance);
    const bool is_faulty = was_faulty(service, instance, elapsed);
    if (excluded) {
        if (elapsed - m_last_excluded[slot] > same_exclusion) {
            ++(is_faulty ? result.true_ejections : result.false_ejections);
            if (!is_faulty) {
                result.notes.push_back(place("false ejection", service, instance, elapsed));
            }
        }
        m_last_excluded[slot] = elapsed;
    }
    if (held) {
        if (elapsed - m_last_held[slot] > same_exclusion && !is_faulty) {
            ++result.false_holds;
        }
        m_last_held[slot] = elapsed;
    }
}

bool detection_measures::was_faulty(int service, int instance,
                                    std::chrono::nanoseconds elapsed) const
{
    return std::any_of(m_plan.begin(), m_plan.end(), [&](const planned_fault& fault) {
        const bool concerns_upstream = fault.kind != fault_kind::one_way_cut &&
                                       fault.kind != fault_kind::store_away &&
                                       fault.kind != fault_kind::overload;
        return concerns_upstream && fault.service == service && fault.instance == instance &&
               elapsed >= fault.start && elapsed < fault.end + fault_echo;
    });
}

void detection_measures::finish()
{
    if (result.has_target) {
        time_detection();
    }
}

// The earliest time from which the target receives less than a tenth of its fair share during a
// whole window that lies within the fault.
void detection_measures::time_detection()
{
    const planned_fault& target = m_plan.front();
    const auto length = static_cast<std::size_t>(share_window / bin);
    // The first bin that lies in the fault as a whole.
    const auto first = static_cast<std::size_t>((target.start + bin - target.start % bin) / bin);
    const auto last = static_cast<std::size_t>(target.end / bin);
    for (std::size_t start = first; start + length <= std::min(last, m_service_bins.size());
         ++start) {
        std::uint64_t at_target = 0;
        std::uint64_t at_service = 0;
        for (std::size_t index = start; index < start + length; ++index) {
            at_target += m_target_bins[index];
            at_service += m_service_bins[index];
        }
        const double fair_share = static_cast<double>(at_service) / instances;
        if (static_cast<double>(at_target) < detected_share * fair_share) {
            const auto since = bin * static_cast<std::int64_t>(start) - target.start;
            result.detection = std::max(since, std::chrono::milliseconds(0));
            return;
        }
    }
}

} // namespace galenaroad
