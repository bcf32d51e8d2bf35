#pragma once

#include "base/process_clock.h"
#include "base/result.h"
#include "daemon/admin_handler.h"
#include "daemon/bound_addresses.h"
#include "daemon/control_shell.h"
#include "peer/peer_server.h"
#include "platform/http_object_store.h"
#include "platform/http_table_service.h"
#include "proxy/entry_handler.h"
#include "proxy/http_listener.h"
#include "proxy/issued_action_handler.h"
#include "proxy/owner_dispatcher.h"
#include "settings/daemon_settings.h"

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
    control_shell::parts make_control_parts();
    owner_parts make_owner_parts();
    entry_parts make_entry_parts();
    peer_handlers make_peer_handlers();
    admin_actions make_admin_actions();
    entry_context make_entry_context();
    void follow_incarnation();
    void store_round();
    result<bound_addresses> bind();

    daemon_settings m_settings;
    std::string m_peer_address; ///< Set before any request is accepted.
    process_clock m_clock;
    http_table_service m_tables;
    http_object_store m_objects;
    published_state m_published;
    work_gate m_gate;
    client_pool m_clients;
    backend_pool m_backends;
    watchdog m_watchdog;
    open_attempt_table m_open;
    retry_budgets m_budgets;
    id_source m_ids;
    span_writer m_spans;
    metrics_registry m_metrics;
    hop_telemetry m_telemetry;
    owner_dispatcher m_owner;
    forwarder m_forwarder;
    std::shared_ptr<action_services> m_actions; ///< Accessed by std::atomic_load and atomic_store.
    action_forwarder m_action_forwarder;
    issued_action_handler m_issued_actions;
    entry_context m_entry;
    admin_actions m_admin;
    control_shell m_control;
    peer_server m_peer_server;
    http_listener m_entry_listener;
    http_listener m_admin_listener;
};

} // namespace galenaroad
