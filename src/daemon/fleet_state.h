#pragma once

#include "proxy/fleet_view.h"
#include "proxy/snapshot_cell.h"
#include "routing/routing_snapshot_builder.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace galenaroad {

/// What this daemon knows of the fleet. Used by the control thread, which publishes it.
class fleet_state {
public:
    /// @param own this daemon's record.
    /// @param published receives the snapshots.
    fleet_state(instance own, snapshot_cell<fleet_view>& published);

    /// Sets the own address once it is bound. Nothing is published before.
    /// @param peer_address IP address and port of the gRPC listener.
    void set_address(const std::string& peer_address);

    /// Changes the upstreams of the own record.
    /// @param upstreams the upstreams.
    void set_upstreams(std::vector<upstream> upstreams);

    /// Marks the own record as leaving.
    void start_leaving();

    /// Replaces the record of another daemon by a newer one.
    /// @param other the record.
    void merge(const instance& other);

    /// Removes a daemon that cannot be reached.
    /// @param name the instance's name.
    /// @param incarnation the incarnation that was not reached.
    void remove(const std::string& name, std::uint64_t incarnation);

    /// Replaces the contracts in force.
    /// @param contracts the contracts.
    void set_contracts(std::vector<std::shared_ptr<const contract>> contracts);

    /// @return this daemon's record.
    const instance& own() const { return m_own; }

    /// Publishes a snapshot when anything has changed since the last one.
    void publish();

private:
    void note_own_change();

    instance m_own;
    snapshot_cell<fleet_view>& m_published;
    routing_snapshot_builder m_builder;
    std::map<std::string, instance> m_others;
    std::vector<std::shared_ptr<const contract>> m_contracts;
    bool m_changed = true;
};

} // namespace galenaroad
