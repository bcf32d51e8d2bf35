#pragma once

#include "base/random_engine.h"
#include "tests/support/fault_plan.h"
#include "tests/support/fleet_callers.h"
#include "tests/support/fleet_watch.h"

#include <set>
#include <string>
#include <vector>

namespace galenaroad {

/// Runs a fleet of processes under concurrent callers and injected faults, and records what they
/// see: four daemons in two regions, seven backend servers, table service and object store.
class faulty_fleet {
public:
    /// Starts the processes and waits until each daemon serves each service.
    /// @param plan what to do.
    explicit faulty_fleet(const fault_plan& plan);

    /// Runs callers through a time before, with and after the faults.
    /// @return what was seen.
    const fleet_history& run();

    /// @return daemons that have ended, each with its exit code.
    std::string ended_daemons();

private:
    void start_processes();
    void wait_until_served() const;
    void inject(process_fault fault);
    void set_fault(const std::string& name, const std::string& text);
    void kill_daemon(const std::string& daemon);
    void freeze(const std::string& daemon);
    void stop_daemon(const std::string& daemon);
    void announce_spare() const;
    void withdraw_spare();
    void change_contract();
    void heal();
    std::string pick(const std::vector<std::string>& names);

    fault_plan m_plan;
    random_engine m_engine;
    test_fleet m_fleet;
    history_recorder m_recorder;
    fleet_watch m_watch;
    fleet_callers m_callers;
    std::set<std::string> m_picked; ///< Targets of faults; each is picked once.
    std::set<std::string> m_faulty; ///< Stand-ins with changed settings.
    std::string m_frozen;           ///< The stopped daemon, if any.
};

} // namespace galenaroad
