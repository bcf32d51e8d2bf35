#pragma once

#include "base/clock.h"
#include "base/random_engine.h"
#include "configuration/configuration_follower.h"
#include "configuration/configuration_store.h"
#include "daemon/fleet_health.h"
#include "daemon/upstream_registry.h"
#include "membership/membership.h"
#include "proxy/fleet_view.h"
#include "proxy/local_upstream.h"
#include "proxy/snapshot_cell.h"
#include "routing/routing_snapshot_builder.h"
#include "settings/daemon_settings.h"

#include <atomic>
#include <memory>
#include <string>
#include <vector>

namespace galenaroad {

/// Reports on this instance's upstreams, by name.
using owner_reports = std::map<std::string, owner_assessment>;

/// Snapshots that the control thread publishes.
struct published_state {
    snapshot_cell<fleet_view> view;
    snapshot_cell<local_upstreams> upstreams;
    snapshot_cell<owner_reports> reports;
    std::atomic<std::uint64_t> incarnation{0};
};

/// All control state of a daemon: members, configuration and announced upstreams.
///
/// Belongs to the control thread. Call tick() at least every 100 ms and send what take_*() returns.
class fleet_control {
public:
    /// Contracts that the daemon was started with come into force when no peer and no table has
    /// told of others within this time.
    static constexpr auto initial_contracts_delay = std::chrono::milliseconds(1000);

    /// @param settings the daemon's settings.
    /// @param initial the contracts that the daemon was started with.
    /// @param time the clock.
    /// @param random the seeded engine.
    /// @param published receives the snapshots.
    fleet_control(const daemon_settings& settings,
                  std::vector<std::shared_ptr<const contract>> initial, const clock& time,
                  random_engine random, published_state& published);

    /// Starts the membership.
    /// @param peer_address the bound address of the gRPC listener.
    void start(const std::string& peer_address);

    /// Does all work that is due.
    void tick();

    /// Adds or renews a backend server of this instance.
    /// @param made its announcement.
    void announce(const upstream_announcement& made);

    /// Marks a backend server of this instance as leaving.
    /// @param name its name.
    void withdraw(const std::string& name);

    /// Marks this daemon as leaving and tells its peers.
    void leave();

    /// Handles a gossip message.
    /// @param message the message.
    void receive(const gossip_message& message);

    /// Puts contracts in force that were read from the table.
    /// @param read the contracts that are newer than those held.
    void apply_table(std::vector<contract> read);

    /// Notes that a peer holds a version of a contract.
    /// @param head the version.
    /// @param address the peer's address.
    void heard(const contract_head& head, const std::string& address);

    /// Notes an attempt that ended.
    /// @param ended the attempt.
    void observe(const attempt_observation& ended) { m_health.observe(ended); }

    /// Judges the upstreams in use.
    /// @param open the attempts that have not ended.
    void judge(const std::vector<running_attempt>& open);

    /// Takes over a row that the store thread has written.
    /// @param order the order that led to it.
    /// @param row the row.
    void row_written(const ejection_command& order, const aged_row& row);

    /// @return the health of the upstreams in use.
    fleet_health& health() { return m_health; }

    /// @return changes of rows to carry out; each is returned once.
    std::vector<ejection_command> take_orders() { return std::exchange(m_orders, {}); }

    /// @return the membership; null before start().
    membership* members() { return m_membership.get(); }

    /// @return the follower of the configuration.
    configuration_follower& follower() { return m_follower; }

    /// @return the versions held.
    std::vector<contract_head> heads() const { return m_contracts.heads(); }

    /// @return addresses of backend servers that have gone since the last call.
    std::vector<std::string> take_gone() { return std::exchange(m_gone, {}); }

private:
    membership_settings membership_settings_of(const daemon_settings& settings) const;
    membership_hooks make_hooks();
    std::string random_peer();
    void use_initial_contracts();
    void publish_upstreams();
    void publish_view();
    void publish_reports();
    void note_contract(const contract& changed);

    daemon_settings m_settings;
    std::vector<std::shared_ptr<const contract>> m_initial;
    const clock& m_clock;
    random_engine m_random;
    published_state& m_published;
    upstream_registry m_registry;
    configuration_store m_contracts;
    configuration_follower m_follower;
    fleet_health m_health;
    routing_snapshot_builder m_routing;
    std::vector<ejection_command> m_orders;
    std::unique_ptr<membership> m_membership;
    std::vector<std::string> m_gone;
    steady_time m_started;
    bool m_view_changed = true;
};

} // namespace galenaroad
