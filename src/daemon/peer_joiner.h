#pragma once

#include "base/random_engine.h"
#include "peer/client_pool.h"
#include "proxy/fleet_view.h"
#include "proxy/snapshot_cell.h"

#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace galenaroad {

/// Exchanges member records with other daemons by `Synchronise`, on its own thread.
class peer_joiner {
public:
    /// What the joiner reports; called on its thread.
    struct events {
        std::function<void(std::vector<instance>)> received;
        std::function<void(const std::string& name, std::uint64_t incarnation)> unreachable;
    };

    /// @param clients the channels.
    /// @param view the fleet as known; the first instance is this daemon.
    /// @param join_addresses addresses to ask for other daemons.
    /// @param on the events.
    /// @param random the seeded engine.
    peer_joiner(client_pool& clients, const snapshot_cell<fleet_view>& view,
                std::vector<std::string> join_addresses, events on, random_engine random);
    peer_joiner(const peer_joiner&) = delete;
    peer_joiner& operator=(const peer_joiner&) = delete;
    peer_joiner(peer_joiner&&) = delete;
    peer_joiner& operator=(peer_joiner&&) = delete;
    ~peer_joiner();

    /// Starts the exchange.
    void start();

    /// Sends the own record to all known daemons at once.
    void notify_all();

private:
    void run();
    void exchange_with_all();
    bool exchange_with(const std::string& address);
    void note_failure(const instance& other);

    client_pool& m_clients;
    const snapshot_cell<fleet_view>& m_view;
    std::vector<std::string> m_join_addresses;
    events m_events;
    random_engine m_random;
    std::map<std::string, int> m_failures;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_notify = false;
    bool m_stopping = false;
    std::thread m_thread;
};

} // namespace galenaroad
