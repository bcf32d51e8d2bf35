// Control loops, faults and links of the model; requests are in detection_model.cpp.
#include "experiment/detection_model.h"

#include "health/evaluator_selection.h"

#include <algorithm>

namespace galenaroad {

namespace {

using std::chrono::milliseconds;
using std::chrono::nanoseconds;

constexpr milliseconds control_interval{100};
constexpr milliseconds announcement_expiry{6000};
constexpr milliseconds shortest_gossip{20};
// All members are reached within 1 s.
constexpr milliseconds longest_gossip{1000};
// Longest wait in the owner's queue: an entry's open attempt may be that old without any service.
constexpr milliseconds queue_wait{50};

} // namespace

void detection_model::control_tick()
{
    std::vector<std::vector<bool>> live;
    const auto members = members_now(live);
    for (int daemon = 0; daemon < instances; ++daemon) {
        std::vector<bool> evaluates(services);
        for (int service = 0; service < services; ++service) {
            evaluates[static_cast<std::size_t>(service)] = is_evaluator(daemon, service, members);
        }
        report_open_attempts(daemon);
        spread(daemon, m_daemons[static_cast<std::size_t>(daemon)]->tick(members, evaluates));
        update_candidates(daemon);
        check(daemon, live);
    }
    schedule(control_interval, [this] { control_tick(); });
}

// As a routing snapshot is built: excluded upstreams are left out, the others get their weight.
void detection_model::update_candidates(int daemon)
{
    for (int service = 0; service < services; ++service) {
        auto& list = m_candidates[upstream_index(service, daemon)].upstreams;
        list.clear();
        for (int instance = 0; instance < instances; ++instance) {
            const double preference =
                m_daemons[static_cast<std::size_t>(daemon)]->preference(service, instance);
            if (preference >= 0) {
                list.push_back(m_all[upstream_index(daemon * services + service, instance)]);
                list.back().preference = static_cast<float>(preference);
            }
        }
    }
}

// In combined runs a second daemon believes that it is the evaluator, as after a partition.
bool detection_model::is_evaluator(int daemon, int service,
                                   const std::vector<service_capacity>& members) const
{
    const service_capacity& capacity = members[static_cast<std::size_t>(service)];
    std::vector<std::string> owners;
    for (const capacity_member& member : capacity.members) {
        owners.push_back(member.upstream.instance);
    }
    const std::string name = "i" + std::to_string(daemon);
    const bool is_rival = m_parameters.scenario == scenario_kind::combined &&
                          daemon == static_cast<int>(m_parameters.seed % instances);
    return is_rival || evaluator_of(capacity.service, owners) == name;
}

void detection_model::report_open_attempts(int daemon)
{
    auto& open = m_open[static_cast<std::size_t>(daemon)];
    open.erase(std::remove_if(open.begin(), open.end(),
                              [](const attempt_pointer& attempt) {
                                  return attempt->is_received || attempt->is_abandoned;
                              }),
               open.end());
    std::vector<std::vector<open_attempt>> by_upstream(upstream_index(services, 0));
    for (const attempt_pointer& attempt : open) {
        const auto index = upstream_index(attempt->request->service, attempt->instance);
        const auto allowance = 2 * link_time(daemon, attempt->instance) + queue_wait;
        by_upstream[index].push_back({attempt->request->work, attempt->sent + allowance});
    }
    for (int service = 0; service < services; ++service) {
        auto& own = by_upstream[upstream_index(service, daemon)];
        own.clear();
        for (const auto& [ticket, attempt] : server(service, daemon).attempts) {
            if (attempt->is_running) {
                own.push_back({attempt->request->work, attempt->admitted});
            }
        }
        for (int instance = 0; instance < instances; ++instance) {
            m_daemons[static_cast<std::size_t>(daemon)]->running(
                service, instance, std::move(by_upstream[upstream_index(service, instance)]));
        }
    }
}

void detection_model::spread(int sender, const std::vector<aged_row>& rows)
{
    std::uniform_int_distribution<int> delay(static_cast<int>(shortest_gossip.count()),
                                             static_cast<int>(longest_gossip.count()));
    for (const aged_row& row : rows) {
        for (int receiver = 0; receiver < instances; ++receiver) {
            if (receiver != sender) {
                schedule(milliseconds(delay(m_random)), [this, receiver, row] {
                    m_daemons[static_cast<std::size_t>(receiver)]->receive(row);
                });
            }
        }
    }
}

void detection_model::check(int daemon, const std::vector<std::vector<bool>>& live)
{
    const detection_daemon& checked = *m_daemons[static_cast<std::size_t>(daemon)];
    for (int service = 0; service < services; ++service) {
        std::vector<bool> excluded(instances);
        const std::vector<bool> held = checked.held(service);
        for (int instance = 0; instance < instances; ++instance) {
            excluded[static_cast<std::size_t>(instance)] = checked.excludes(service, instance);
        }
        m_measures.check_daemon(daemon, service, excluded, held,
                                live[static_cast<std::size_t>(service)], m_elapsed);
    }
}

// A crashed server's announcement expires after 6 s; until then it counts as live.
std::vector<service_capacity>
detection_model::members_now(std::vector<std::vector<bool>>& live) const
{
    std::vector<service_capacity> members;
    for (int service = 0; service < services; ++service) {
        service_capacity capacity{{m_parameters.business.name, "s" + std::to_string(service)},
                                  m_parameters.floor_slots(),
                                  {}};
        std::vector<bool> is_live;
        for (int instance = 0; instance < instances; ++instance) {
            const auto* crash = fault(fault_kind::crash, service, instance);
            is_live.push_back(crash == nullptr || m_elapsed - crash->start < announcement_expiry);
            if (is_live.back()) {
                capacity.members.push_back(
                    {detection_daemon::id_of(service, instance), 1, m_parameters.business.slots});
            }
        }
        members.push_back(std::move(capacity));
        live.push_back(std::move(is_live));
    }
    return members;
}

const planned_fault* detection_model::fault(fault_kind kind, int service, int instance) const
{
    for (const planned_fault& planned : m_plan) {
        if (planned.kind == kind && planned.is_active(m_elapsed) &&
            (service < 0 || planned.service == service) &&
            (instance < 0 || planned.instance == instance)) {
            return &planned;
        }
    }
    return nullptr;
}

bool detection_model::is_cut(int from, int to) const
{
    return std::any_of(m_plan.begin(), m_plan.end(), [&](const planned_fault& planned) {
        return planned.kind == fault_kind::one_way_cut && planned.is_active(m_elapsed) &&
               planned.sender == from && planned.instance == to;
    });
}

bool detection_model::is_frozen(int service, int instance) const
{
    return fault(fault_kind::freeze, service, instance) != nullptr;
}

nanoseconds detection_model::link_time(int from, int to) const
{
    if (from == to) {
        return nanoseconds(0);
    }
    if (from / 2 == to / 2) {
        return m_parameters.business.within_data_centre;
    }
    return from / 4 == to / 4 ? m_parameters.business.between_data_centres
                              : m_parameters.business.between_regions;
}

} // namespace galenaroad
