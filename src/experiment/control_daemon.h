#pragma once

#include "base/clock.h"
#include "base/random_engine.h"
#include "configuration/configuration_follower.h"
#include "configuration/configuration_reader.h"
#include "configuration/configuration_store.h"
#include "membership/membership.h"

#include <memory>
#include <string>
#include <vector>

namespace galenaroad {

class object_store;
class table_service;

/// Where a simulated daemon stands and what it announces.
struct daemon_identity {
    std::string name;
    std::string address;
    data_centre location;
    std::vector<upstream> upstreams;
};

/// Membership and configuration of one daemon, wired as the control loop of galenaroadd wires them.
class control_daemon {
public:
    /// @param identity the daemon.
    /// @param settings the settings of membership.
    /// @param time the clock; must outlive the daemon.
    /// @param seed seed of the daemon's own random engine.
    control_daemon(const daemon_identity& identity, const membership_settings& settings,
                   const clock& time, std::uint64_t seed);

    /// Lets the daemon read table `contracts` when it is chosen for it.
    /// @param table the table service.
    /// @param objects the object store.
    void use_table(table_service& table, object_store& objects);

    /// One step of the control loop.
    void tick();

    /// Stops renewing announcements and leaves.
    void leave();

    /// Withdraws an upstream and stops renewing it.
    /// @param upstream_name the upstream.
    void withdraw(const std::string& upstream_name);

    /// @return the membership.
    membership& members() { return *m_members; }
    const membership& members() const { return *m_members; }

    /// @return the contracts in force.
    configuration_store& store() { return m_store; }
    const configuration_store& store() const { return m_store; }

    /// @return the follower of peers' configuration.
    configuration_follower& follower() { return m_follower; }
    const configuration_follower& follower() const { return m_follower; }

    /// @return what the daemon is.
    const daemon_identity& identity() const { return m_identity; }

private:
    void contract_changed(const contract& changed);
    std::string random_peer();
    void read_table_if_due();
    void renew_announcements();

    daemon_identity m_identity;
    const clock& m_clock;
    random_engine m_random;
    configuration_store m_store;
    configuration_follower m_follower;
    std::unique_ptr<membership> m_members;
    std::unique_ptr<configuration_reader> m_reader;
    steady_time m_next_renewal;
    bool m_leaving = false;
};

} // namespace galenaroad
