#pragma once

#include "fleet/fleet_store.h"
#include "net/http_server.h"
#include "relay/entry_exchange.h"
#include "relay/health_report_exchange.h"
#include "relay/owner_exchange.h"
#include "relay/peer_sync.h"
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
    std::string listen_address; ///< Where the node listens for them; that address when empty.
    std::string entry_address;  ///< Where clients and the owned upstream send requests.
    std::string own_service;    ///< Service of the owned upstream.
    retry_budget_limits retries;
    header_names names;
    std::size_t max_connections = 3000;
    /// Bodies of requests that are held at once, for clients and for peers each.
    std::size_t max_body_memory = std::size_t{64} * 1024 * 1024;
    /// Longest time from stop() until what is not finished is answered; the end follows at once.
    std::chrono::milliseconds stop_time{5000};
    /// From the first heartbeat of the owned upstream until the store is asked who else is there.
    /// When all daemons start together, the others announce themselves within this time.
    std::chrono::milliseconds first_list_delay{0};
};

/// Everything outside the node that it uses. All parts outlive it.
struct relay_dependencies {
    event_loop& loop;
    fleet_store& store;
    decision_log& log;
    metrics_registry& metrics;
    /// Reads a plan as the operators wrote it; the error names what is wrong.
    std::function<tl::expected<routing_plan, std::string>(const plan_document&)> decode_plan;
};

/// One daemon on the request path: entry for the clients of its instance, and owner of the
/// upstream beside it. Wires the servers, the store, the peers and the decisions together.
class relay_node {
public:
    /// @param parts what the node uses.
    /// @param settings its settings.
    /// @param random engine for all random choices.
    relay_node(relay_dependencies dependencies, relay_settings settings, random_engine random);

    /// Starts to listen and to follow the store.
    /// @throw Poco::Exception when an address cannot be bound.
    void start();

    /// Shuts down: takes no new work for the owned upstream, finishes what is under way.
    /// @param on_stopped called when nothing is under way any more, or the stop time is over.
    void stop(std::function<void()> on_stopped);

    /// @return true while clients should be sent here.
    bool is_ready() const;

    /// @return the plan in force; null without one.
    const plan_index* plan() const { return m_context.plan.get(); }

    /// @return the owners that are known.
    const owner_directory& owners() const { return m_context.directory; }

    /// Takes a heartbeat of the owned upstream.
    /// @param beat the heartbeat.
    /// @param acknowledge called when the daemon is bound by it.
    void note_heartbeat(const upstream_heartbeat& heartbeat, std::function<void()> acknowledge);

    /// Takes the announcement that an upstream leaves at once.
    /// @param id the upstream.
    /// @param acknowledge called when the daemon is bound by it.
    void note_departure(const std::string& id, std::function<void()> acknowledge);

    /// Changes the service of the owned upstream, when the settings have changed.
    void set_own_service(const std::string& service) { m_context.own_service = service; }

private:
    struct pending_acknowledgement {
        std::uint64_t revision;
        std::function<void()> acknowledge;
        event_loop::timer_id timer;
    };

    void watch_store();
    void apply_plan(plan_document document, const std::string& source);
    void record_plan_errors(const routing_plan& plan);
    void merge_owners(const std::vector<owner_record>& records);
    bool is_from_future(std::uint64_t time_ms) const;
    void list_local_owners_after(std::chrono::milliseconds delay);
    void on_all_owners_listed();
    void publish();
    void acknowledge_change(lifecycle_change change, std::function<void()> acknowledge);
    void acknowledge_up_to(std::uint64_t revision);
    void accept_client(std::shared_ptr<server_exchange> client);
    void accept_peer(std::shared_ptr<server_exchange> client);
    void handle_response_query(const std::shared_ptr<server_exchange>& client,
                               std::string_view text);
    void on_health_reported(const std::string& address, const owner_health& condition);
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
    peer_sync m_sync;
    health_report_exchange m_health_reports;
    http_server m_entry_server;
    http_server m_peer_server;
    plan_document m_plan_document;
    std::set<std::shared_ptr<entry_exchange>> m_entry_requests;
    std::set<std::shared_ptr<owner_exchange>> m_owned_requests;
    std::map<std::uint64_t, std::weak_ptr<owner_exchange>> m_waiting_requests;
    std::vector<pending_acknowledgement> m_acknowledgements;
    owner_record m_published;
    steady_time m_stopping_since;
    std::size_t m_unfinished = 0; ///< Requests under way when the stop time was over.
    std::function<void()> m_on_stopped;
    bool m_has_heartbeat = false; ///< Of the owned upstream, since the start.
    bool m_has_requested_local_owners = false;
    bool m_owners_listed = false; ///< By the store, or by a peer that knows all of them.
    bool m_store_listing_is_complete = false; ///< By the store, since it is followed.
    bool m_is_stopping = false;
};

} // namespace galenaroad
