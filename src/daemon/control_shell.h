#pragma once

#include "daemon/control_thread.h"
#include "daemon/ejection_worker.h"
#include "daemon/fleet_control.h"
#include "daemon/peer_messenger.h"
#include "daemon/store_reader.h"
#include "membership/name_pool.h"
#include "peer/gossip_socket.h"
#include "peer/peer_handlers.h"

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace galenaroad {

class object_store;
class table_service;

/// Runs the control state on its thread and connects it with peers and the platform's stores.
class control_shell {
public:
    /// Parts of the daemon that the control side uses. All outlive the shell.
    struct parts {
        const daemon_settings& settings;
        const clock& time;
        client_pool& clients;
        table_service& tables;
        object_store& objects;
        published_state& published;
        /// Called on the control thread when a backend server has gone.
        std::function<void(const std::string& address)> upstream_gone;
        /// Called on the store thread in each of its rounds.
        std::function<void()> store_round;
        const open_attempt_table& open;
    };

    /// @param used what the control side uses.
    /// @param initial the contracts that the daemon was started with.
    /// @param random the seeded engine.
    control_shell(parts used, std::vector<std::shared_ptr<const contract>> initial,
                  random_engine random);

    /// Starts the membership.
    /// @param peer_address the bound address of the gRPC listener; gossip uses the same port by
    /// UDP.
    /// @return a code of zero, or `settings_invalid` when the UDP port cannot be bound.
    std::error_code start(const std::string& peer_address);

    /// Adds or renews a backend server of this instance; in force on return.
    /// @param made its announcement.
    void announce(const upstream_announcement& made);

    /// Marks a backend server of this instance as leaving; in force on return.
    /// @param name its name.
    void withdraw(const std::string& name);

    /// Marks this daemon as leaving and notifies its peers.
    void leave();

    /// Adds the hooks for the calls of membership and configuration.
    /// @param handlers the hooks to complete.
    void add_handlers(peer_handlers& handlers);

    /// Notes that a peer holds a version of a contract.
    void heard(const contract_head& head, const std::string& address);

    /// Drains an upstream or ends its drain. Waits for the table service.
    /// @param service the service.
    /// @param upstream the upstream.
    /// @param is_drained whether it is drained from now on.
    /// @return a code of zero, `floor_would_be_breached`, or the error of the table service.
    std::error_code drain(const service_id& service, const upstream_id& upstream, bool is_drained);

    /// Reads the table of contracts as soon as possible, because a change was accepted.
    void notify_accepted();

    /// Notes an attempt that ended; may be dropped when the control thread is behind.
    /// @param ended the attempt.
    void observe(attempt_observation ended);

    /// Queues work for the control thread that may be dropped when it is behind.
    /// @param work the work.
    void post_observation(control_thread::task work)
    {
        m_control.post_observation(std::move(work));
    }

    /// Ends all threads.
    void stop();

private:
    void tick();
    void send_waiting();
    void store_round();
    void judge();
    ejection_worker& ejections();
    void read_table_now();
    void synchronise(const peer::SynchroniseRequest& request,
                     const peer_handlers::synchronise_writer& write);
    peer_messenger::events make_events();

    parts m_parts;
    name_pool m_names;
    message_codec m_codec;
    fleet_control m_fleet;
    configuration_reader m_table_reader;
    store_reader m_reader;
    steady_time m_last_judgement;
    control_thread m_control;
    gossip_socket m_gossip;
    peer_messenger m_messenger;
    std::unique_ptr<ejection_worker> m_ejections; ///< Used by the store thread only.
    control_thread m_store;
};

} // namespace galenaroad
