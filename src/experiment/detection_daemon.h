#pragma once

#include "experiment/detection_scenario.h"
#include "health/ejection_ledger.h"
#include "health/ejection_view.h"
#include "health/link_monitor.h"
#include "health/service_evaluation.h"
#include "health/service_health.h"

#include <deque>
#include <map>
#include <memory>
#include <vector>

namespace galenaroad {

/// Control state of one daemon in the experiment: the decision library and its baselines.
class detection_daemon {
public:
    /// @param index the daemon's number, equal to its instance's.
    /// @param parameters the run's parameters.
    /// @param time the clock.
    /// @param store the table service.
    detection_daemon(int index, const detection_parameters& parameters, const clock& time,
                     table_service& store);

    /// @param service the service's number.
    /// @param instance the upstream's instance.
    /// @return the upstream's identity.
    static upstream_id id_of(int service, int instance);

    /// Notes an attempt that ended: own upstreams by the owner role, others by the entry role.
    void observe(int service, int instance, const observation& attempt);

    /// Notes an event on the link to an instance.
    /// @return where the fault is looked for.
    fault_attribution link(int service, int instance, link_event event);

    /// Takes over an owner's report.
    void report(int service, int instance, const owner_assessment& report);

    /// @return the report on an own upstream.
    owner_assessment report_for(int service) const;

    /// Replaces the open attempts at an upstream.
    void running(int service, int instance, std::vector<open_attempt> open);

    /// Receives a row by gossip.
    void receive(const aged_row& row);

    /// Runs the control loop once.
    /// @param members the live upstreams of each service, as this daemon knows them.
    /// @param evaluates for each service whether this daemon is its evaluator.
    /// @return rows that were written, to pass on to the other daemons.
    std::vector<aged_row> tick(const std::vector<service_capacity>& members,
                               const std::vector<bool>& evaluates);

    /// @return the preference of an upstream, negative when it is excluded.
    double preference(int service, int instance) const;

    /// @return whether an upstream is excluded, which a floor may not permit.
    bool excludes(int service, int instance) const { return preference(service, instance) < 0; }

    /// @return for each instance whether this daemon steers around its upstream by a hold.
    std::vector<bool> held(int service) const;

    /// @return one line for each ejection that this daemon wrote, with its reason.
    const std::vector<std::string>& decisions() const { return m_decisions; }

    /// @return the number of writes to the table service.
    std::uint64_t store_writes() const { return m_ledger.writes(); }

private:
    static constexpr int consecutive_limit = 5;
    static constexpr std::chrono::seconds consecutive_hold{30};

    struct error_run {
        int failures = 0;
        steady_time excluded_until{};
    };
    void evaluate_service(int service, const service_capacity& members,
                          std::vector<aged_row>& written);
    void update_preferences(int service, const service_capacity& members);
    double local_preference(int service, int instance) const;

    int m_index;
    detection_parameters m_parameters;
    const clock& m_clock;
    std::vector<service_health> m_health; ///< By service.
    std::vector<service_evaluation> m_evaluations;
    std::map<upstream_id, error_run> m_errors;
    std::map<upstream_id, double> m_preferences;
    link_monitor m_links;
    ejection_ledger m_ledger;
    ejection_view m_view;
    std::vector<std::string> m_decisions;
};

} // namespace galenaroad
