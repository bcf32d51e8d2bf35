#pragma once

#include "base/process_clock.h"
#include "base/result.h"
#include "daemon/admin_handler.h"
#include "daemon/bound_addresses.h"
#include "daemon/control_thread.h"
#include "daemon/fleet_state.h"
#include "daemon/peer_joiner.h"
#include "daemon/upstream_registry.h"
#include "peer/peer_server.h"
#include "proxy/entry_handler.h"
#include "proxy/http_listener.h"
#include "proxy/owner_dispatcher.h"
#include "settings/daemon_settings.h"

#include <atomic>
#include <memory>
#include <vector>

namespace galenaroad {

/// The running daemon: wires the roles together, starts them and shuts them down.
class proxy_daemon {
public:
    /// Time in which all peers are told that this daemon is leaving.
    static constexpr auto notice_time = std::chrono::milliseconds(1000);

    /// @param settings the settings.
    /// @param contracts the contracts to start with.
    proxy_daemon(daemon_settings settings, std::vector<std::shared_ptr<const contract>> contracts);

    /// Binds the listeners and starts all threads.
    /// @return the bound addresses, or `settings_invalid` when one cannot be bound.
    result<bound_addresses> start();

    /// Refuses new work, tells the peers, and returns when everything in flight has finished.
    void shut_down();

private:
    instance own_record() const;
    owner_parts make_owner_parts();
    entry_parts make_entry_parts();
    peer_handlers make_peer_handlers();
    admin_actions make_admin_actions();
    peer_joiner::events make_joiner_events();
    void synchronise(const peer::SynchroniseRequest& request,
                     const peer_handlers::synchronise_writer& write);
    void tick();
    void publish_upstreams();
    std::string fleet_json() const;
    std::vector<std::string> join_addresses() const;
    result<bound_addresses> bind();

    daemon_settings m_settings;
    process_clock m_clock;
    std::uint64_t m_incarnation;
    snapshot_cell<fleet_view> m_view;
    snapshot_cell<local_upstreams> m_upstreams;
    work_gate m_gate;
    client_pool m_clients;
    backend_pool m_backends;
    watchdog m_watchdog;
    retry_budgets m_budgets;
    id_source m_ids;
    fleet_state m_fleet;
    upstream_registry m_registry;
    control_thread m_control;
    owner_dispatcher m_owner;
    forwarder m_forwarder;
    entry_context m_entry;
    admin_actions m_admin;
    peer_server m_peer_server;
    http_listener m_entry_listener;
    http_listener m_admin_listener;
    peer_joiner m_joiner;
};

} // namespace galenaroad
