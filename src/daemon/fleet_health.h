#pragma once

#include "base/clock.h"
#include "configuration/configuration_store.h"
#include "health/ejection_view.h"
#include "health/link_monitor.h"
#include "health/service_evaluation.h"
#include "health/service_health.h"
#include "health/statistics_report.h"
#include "membership/gossip_message.h"
#include "membership/membership_view.h"
#include "proxy/open_attempt_table.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace galenaroad {

/// An attempt that ended, as the health decisions need it.
struct attempt_observation {
    service_id service;
    upstream_id target;
    observation attempt;
    link_event link = link_event::responded;
    bool is_evidence = true; ///< False when the attempt ended before it reached the upstream.
    owner_assessment report; ///< What the owner told of the upstream; callers only.
    bool has_report = false;
    bool by_owner = false; ///< Observed beside the upstream.
};

/// Health of the upstreams that this daemon calls or owns, and the ejections that it honours.
///
/// Belongs to the control thread. Services are tracked while they are in use, so that the state
/// does not grow with the fleet.
class fleet_health {
public:
    /// A service that this daemon neither owns nor calls is forgotten after this time.
    static constexpr std::chrono::seconds idle_time{60};

    /// @param own_name the name of this instance.
    /// @param time the clock.
    fleet_health(std::string own_name, const clock& time);

    /// Takes over members and contracts after they have changed.
    /// @param members the members.
    /// @param contracts the contracts in force.
    void update(std::shared_ptr<const membership_view> members,
                std::shared_ptr<const configuration_snapshot> contracts);

    /// Notes an attempt that ended.
    /// @param ended the attempt.
    void observe(const attempt_observation& ended);

    /// Takes over a row that a peer passed on.
    /// @param copy the row.
    void receive(const ejection_row_copy& copy);

    /// Takes over a row that this daemon has written or read.
    /// @param order the order that led to it.
    /// @param row the row.
    /// @return the row to pass on to peers.
    ejection_row_copy written(const ejection_command& order, const aged_row& row);

    /// Judges all tracked services. To be called about every 100 ms.
    /// @param open the attempts that have not ended.
    /// @return the changes of rows to carry out.
    std::vector<ejection_command> tick(const std::vector<running_attempt>& open);

    /// @param service a service.
    /// @return its live members and its floor.
    service_capacity capacity_of(const service_id& service);

    /// @return levels of own upstreams to report to the evaluators of their services.
    std::vector<outgoing_statistics_report> take_level_reports();

    /// Answers an owner's report, as the evaluator of its service.
    /// @param report the report.
    /// @return the references for the upstream.
    std::vector<class_reference> answer(const statistics_report& report);

    /// Takes over the references that an evaluator answered.
    /// @param report the report that was answered.
    /// @param references the references.
    void set_references(const statistics_report& report,
                        const std::vector<class_reference>& references);

    /// @return services whose preferences have changed since the last call.
    std::set<service_id> take_changed();

    /// @param service the service.
    /// @param upstream the upstream.
    /// @return the preference for routing; negative when the upstream is excluded.
    double preference(const service_id& service, const upstream_id& upstream) const;

    /// @param service a service.
    /// @param upstream an upstream of this instance.
    /// @return what to report to callers.
    owner_assessment report_for(const service_id& service, const upstream_id& upstream) const;

    /// @return the number of services that are tracked.
    std::size_t tracked() const { return m_services.size(); }

private:
    struct tracked_service {
        explicit tracked_service(const detection_settings& settings) : health(settings) {}

        service_health health;
        service_evaluation evaluation;
        service_capacity capacity;
        std::map<upstream_id, double> preferences;
        statistics_collector levels;
        std::string evaluator_address; ///< Empty while the evaluator is not known.
        bool is_owned = false;
        bool is_evaluator = false;
        steady_time reported;
        steady_time last_use;
    };

    tracked_service& track(const service_id& service);
    void update_capacities();
    void report_levels(const service_id& service, tracked_service& tracked);
    bool is_report_due(const tracked_service& tracked) const;
    void add_member(const member& known, std::map<service_id, service_capacity>& capacities) const;
    void replace_members(tracked_service& tracked, service_capacity capacity, bool is_new);
    void forget_idle();
    bool counts(const upstream_id& target, bool by_owner) const;
    void pass_open_attempts(const std::vector<running_attempt>& open);
    void update_preferences(const service_id& service, tracked_service& tracked);
    const service* declared(const service_id& service) const;

    std::string m_own_name;
    const clock& m_clock;
    std::shared_ptr<const membership_view> m_members;
    std::shared_ptr<const configuration_snapshot> m_contracts;
    std::map<service_id, tracked_service> m_services;
    link_monitor m_links;
    ejection_view m_view;
    std::set<service_id> m_changed;
    std::vector<outgoing_statistics_report> m_reports;
    bool m_has_new_services = false;
};

} // namespace galenaroad
