#pragma once

#include "base/random_engine.h"
#include "fleet/fleet_store.h"
#include "net/http_server.h"
#include "relay/plan_announcer.h"
#include "relay/plan_fetcher.h"
#include "relay/plan_server.h"
#include "relay/reader_tracker.h"
#include "relay/relay_context.h"
#include "relay/state_poller.h"
#include "relay/state_server.h"
#include "relay/store_reader_role.h"
#include "relay/store_restore_responder.h"

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace galenaroad {

/// Keeps the routing plan and the owners' records up to date, from the store or from peers.
///
/// In each data centre a few daemons read the store, see store_reader_role, and the others follow
/// them. When a peer reports a newer plan, the plan is fetched from it. While neither the store nor
/// a store reader responds, the states of random peers are requested at intervals.
class peer_sync {
public:
    /// Callbacks for decisions and for what peers report, and access to the daemon's state.
    struct hooks {
        /// A peer has sent a change of the plan; see plan_fetcher.
        std::function<bool(const staged_plan& staged, const std::string& peer)> change;
        std::function<void(const std::vector<owner_record>&)> owners;
        std::function<void()> owners_complete; ///< A peer that knows all owners has sent them.
        std::function<void(bool)> watch_store;
        std::function<void()> probe_store; ///< See fleet_store::probe().
        /// Whether a loss of the store must be detected soon; see fleet_store::poll_frequently().
        std::function<void(bool)> poll_store_frequently;
        /// @return true while the store responds to this daemon and has listed all owners.
        std::function<bool()> is_synced_with_store;
        /// @return true when all owners are known.
        std::function<bool()> is_complete;
        std::function<store_era()> era;               ///< See fleet_store::era().
        std::function<void(store_era)> verify_record; ///< See fleet_store::verify_record().
        /// Reads a plan from the store that has the version in force and other contents.
        std::function<void()> read_other_plan;
    };

    /// @param context shared state; must outlive this object.
    /// @param callbacks see hooks.
    /// @param random engine for the choice of peers.
    /// @param link_rate bytes a second of the instance's link; 0 when it is not known.
    peer_sync(relay_context& context, hooks callbacks, random_engine random, std::size_t link_rate);

    /// Starts the periodic update, which also requests state from peers while the store does not
    /// respond.
    void start();

    /// Called when all daemons of this data centre that have a record are known. From then on this
    /// daemon decides whether it reads the store.
    void on_local_owners_known();

    /// Called when the plan, the owners or the reachability of the store have changed.
    void on_state_change();

    /// Called when a newer plan is in force. Announces it to daemons that might not learn of it
    /// otherwise.
    /// @param source address of the peer that sent the plan; empty when it came from the store.
    void on_newer_plan(const std::string& source);

    /// Called when the store has started or stopped responding to this daemon.
    void on_store_change() { update(); }

    /// Called when the store has come back from an older copy.
    void on_store_restored();

    /// Called when the store has responded to a probe.
    void on_store_probed();

    /// Called when a peer has reported the version of its plan.
    void on_plan_reported(std::uint64_t version, const std::string& address);

    /// Handles a state request of a peer.
    /// @param client the HTTP exchange.
    void handle_request(const std::shared_ptr<server_exchange>& client);

    /// Handles a request of a peer for a page of the plan.
    /// @param client the HTTP exchange.
    void handle_page_request(const std::shared_ptr<server_exchange>& client)
    {
        m_plan_server.handle_request(client);
    }

    /// @return true when this daemon reads the store.
    bool is_reader() const { return m_role.is_reader(); }

private:
    void tick();
    void repeat_reports();
    void on_unreachable(const std::string& peer);
    void update();
    bool has_lost_store() const;
    bool has_plan_source() const;
    void report_plan_source();
    void probe_store_if_due();
    void take_over();
    void apply_role(bool was_reader, const preceding_daemons& preceding);
    void apply_state(const peer_state& state, const std::string& peer);
    std::string choose_random_peer();

    relay_context& m_context;
    hooks m_hooks;
    random_engine m_random;
    state_server m_server;
    store_reader_role m_role;
    reader_tracker m_readers;
    /// Peers that contacted this daemon and may not be in the directory.
    std::set<std::string> m_unlisted_peers;
    state_poller m_poller;
    plan_fetcher m_fetcher;
    plan_server m_plan_server;
    plan_announcer m_announcer;
    store_restore_responder m_restores;
    int m_ticks = 0;
    bool m_local_owners_known = false;
    bool m_was_fresh = false;
    bool m_was_synced = false;            ///< With the store, since m_reading_since.
    steady_time m_reading_since;          ///< When this daemon began or ended to read the store.
    steady_time m_plan_source_changed_at; ///< When relay_context::has_plan_source changed.
    steady_time m_next_probe_at;          ///< The store is not probed before.
};

} // namespace galenaroad
