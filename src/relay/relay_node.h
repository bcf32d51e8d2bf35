#pragma once

#include "fleet/fleet_store.h"
#include "fleet/restart_record_check.h"
#include "net/http_server.h"
#include "relay/acknowledgement_queue.h"
#include "relay/datagram_channel.h"
#include "relay/departure_replicator.h"
#include "relay/entry_exchange.h"
#include "relay/health_report_exchange.h"
#include "relay/owner_exchange.h"
#include "relay/peer_sync.h"
#include "relay/plan_updater.h"
#include "relay/quota_exchange.h"
#include "relay/relay_context.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace galenaroad {

/// Settings of a relay node.
struct relay_settings {
    daemon_location location;   ///< Its address is where peers reach the node.
    std::string listen_address; ///< Where it listens for peers; location.address when empty.
    std::string entry_address;  ///< Where clients and the owned upstream send requests.
    std::string own_service;    ///< Service of the owned upstream.
    retry_budget_limits retries;
    header_names names;
    std::size_t max_connections = 3000;
    /// Limit on the bytes of request bodies in memory, separately for clients and for peers.
    std::size_t max_body_memory = std::size_t{64} * 1024 * 1024;
    /// Limit on the bytes of response bodies in memory that are not streamed.
    std::size_t max_response_memory = std::size_t{32} * 1024 * 1024;
    std::size_t link_rate = 0; ///< Bytes a second of the instance's link; 0 when it is not known.
    /// Maximum time from stop() until unfinished requests get a response; the node stops right
    /// after.
    std::chrono::milliseconds stop_time{5000};
    quota_tolerance tolerance; ///< By how much accounts may exceed their quotas.
    /// Delay from the first heartbeat of the owned upstream until the store is asked for the local
    /// owners. When all daemons start together, the others publish their records within this time.
    std::chrono::milliseconds first_list_delay{0};
};

/// External objects that the node uses. All must outlive it.
struct relay_dependencies {
    event_loop& loop;
    fleet_store& store;
    decision_log& log;
    metrics_registry& metrics;
    plan_updater::document_decoder decode_plan;
};

/// One daemon on the request path: entry for the clients of its instance, and owner of the
/// instance's upstream. Connects the servers, the store, the peers and the decision logic.
class relay_node {
public:
    /// @param dependencies external objects that the node uses.
    /// @param settings its settings.
    /// @param random engine for all random choices.
    relay_node(relay_dependencies dependencies, relay_settings settings, random_engine random);

    /// Starts listening for requests and reading from the store.
    /// @throw Poco::Exception when an address cannot be bound.
    void start();

    /// Shuts down: accepts no new requests for the owned upstream, and finishes those in progress.
    /// @param on_stopped called when no request is in progress, or when the stop time is over.
    void stop(std::function<void()> on_stopped);

    /// @return true while clients should send requests to this node.
    bool is_ready() const;

    /// @return the plan in force; null without one.
    const plan_index* plan() const { return m_context.plans.in_force().get(); }

    /// @return the known owners.
    const owner_directory& owners() const { return m_context.directory; }

    /// Handles a heartbeat of the owned upstream.
    /// @param heartbeat the heartbeat.
    /// @param acknowledge called when the daemon is bound by it, and the store has it if it
    /// announces that the upstream leaves.
    void on_heartbeat(const upstream_heartbeat& heartbeat, std::function<void()> acknowledge);

    /// Handles the announcement that an upstream leaves immediately.
    /// @param id the upstream.
    /// @param acknowledge called when the daemon is bound by it and the store has it.
    void on_departure(const std::string& id, std::function<void()> acknowledge);

    /// Changes the service of the owned upstream, when the settings have changed.
    void set_own_service(const std::string& service) { m_context.own_service = service; }

private:
    void watch_store();
    void on_plan_replaced(std::uint64_t replaced_version, const std::string& peer);
    void merge_owners(const std::vector<owner_record>& records);
    void on_joined_peer(const owner_record& record);
    bool is_from_future(std::uint64_t time_ms) const;
    bool is_from_future(const owner_record& record) const;
    void list_local_owners_after(std::chrono::milliseconds delay);
    void on_all_owners_listed();
    void publish();
    owner_record current_record() const;
    void announce(owner_record record);
    void restore(const owner_record& record);
    void on_records_stored(const std::vector<owner_record>& records);
    void on_stored(std::uint64_t revision);
    void acknowledge_if_stored();
    void on_own_record_found(const owner_record& record);
    void finish_restore(const char* source);
    void ask_peers(const char* source);
    bool must_ask_peers() const { return m_has_earlier_record && !m_has_asked_peers; }
    void trust_peers_later();
    void acknowledge_change(lifecycle_change change, std::function<void()> acknowledge);
    void log_change(lifecycle_change change);
    void accept_client(std::shared_ptr<server_exchange> client);
    void accept_peer(std::shared_ptr<server_exchange> client);
    void handle_response_query(const std::shared_ptr<server_exchange>& client,
                               std::string_view text);
    void on_health_reported(const std::string& address, const owner_health& health);
    void refuse_unservable();
    void run_waiting();
    void check_stopped();
    void respond_to_unfinished();
    bool has_pending_output();
    peer_sync::hooks make_sync_hooks();

    relay_dependencies m_dependencies;
    relay_settings m_settings;
    relay_metrics m_metrics;
    http_client m_peer_client;
    http_client m_upstream_client;
    relay_context m_context;
    plan_updater m_plan_updater;
    restart_record_check m_restart_check;
    peer_sync m_sync;
    datagram_channel m_datagrams;
    health_report_exchange m_health_reports;
    quota_exchange m_quotas;
    http_server m_entry_server;
    http_server m_peer_server;
    std::set<std::shared_ptr<entry_exchange>> m_entry_requests;
    std::set<std::shared_ptr<owner_exchange>> m_owned_requests;
    std::map<std::uint64_t, std::weak_ptr<owner_exchange>> m_waiting_requests;
    acknowledgement_queue m_acknowledgements;
    departure_replicator m_departures;
    owner_record m_published;
    owner_record m_stored; ///< Latest one of this daemon that the store is known to have.
    steady_time m_stopping_since;
    std::size_t m_unfinished = 0; ///< Requests in progress at the end of the stop time.
    std::function<void()> m_on_stopped;
    bool m_has_heartbeat = false; ///< Of the owned upstream, since the start.
    bool m_has_requested_local_owners = false;
    bool m_owners_listed = false;             ///< By the store, or by a peer with all of them.
    bool m_store_listing_is_complete = false; ///< Since the store is watched.
    bool m_peers_are_listed = false;          ///< At least those of the data centre.
    bool m_has_earlier_record = false;        ///< One of this daemon has been found.
    bool m_is_asking_peers = false;           ///< For the record of an earlier start.
    bool m_has_asked_peers = false;
    bool m_is_stopping = false;
};

} // namespace galenaroad
