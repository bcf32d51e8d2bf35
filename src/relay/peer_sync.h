#pragma once

#include "base/random_engine.h"
#include "fleet/fleet_store.h"
#include "net/http_server.h"
#include "relay/peer_follower.h"
#include "relay/plan_announcer.h"
#include "relay/plan_fetcher.h"
#include "relay/reader_role.h"
#include "relay/relay_context.h"
#include "relay/state_server.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace galenaroad {

/// Keeps the routing plan and the owners' records up to date, from the store or from peers.
///
/// In each data centre a few daemons read the store, see reader_role, and the others follow them.
/// Besides, a peer is asked when it has told a newer plan, and any peer is asked while neither the
/// store nor a reader is there.
class peer_sync {
public:
    /// Reactions to what is decided and to what peers tell.
    struct hooks {
        /// A peer has told a plan; the second argument is the peer's address.
        std::function<void(plan_document, const std::string& peer)> plan;
        std::function<void(const std::vector<owner_record>&)> owners;
        std::function<void()> owners_complete; ///< A peer that knows all owners has told them.
        std::function<void(bool)> follow_store;
        /// Whether it is to be noticed soon that the store does not answer.
        std::function<void(bool)> watch_store_closely;
        /// @return true while the store answers this daemon and its list is complete.
        std::function<bool()> has_store;
        /// @return true when all owners are known.
        std::function<bool()> is_complete;
        /// @return the plan in force; version 0 without one.
        std::function<const plan_document&()> document;
    };

    /// @param context shared state; must outlive this object.
    /// @param reactions called with what peers tell.
    /// @param random engine for the choice of peers.
    peer_sync(relay_context& context, hooks reactions, random_engine random);

    /// Starts to ask peers while the store is away.
    void start();

    /// Notes that the daemons of the own data centre are known, as far as they have records. From
    /// then on this daemon decides whether it reads the store.
    void note_neighbours();

    /// Notes that the plan, the owners or the state of the store have changed.
    void note_change();

    /// Notes that a newer plan is in force, and tells those who may not hear of it otherwise.
    /// @param source address of the peer that told it; empty when the store did.
    void note_newer_plan(const std::string& source);

    /// Notes that the store has begun or ceased to answer this daemon.
    void note_store_change() { update(); }

    /// Notes that a peer has told its plan's version.
    void heard_plan(std::uint64_t version, const std::string& address);

    /// Answers a peer's question.
    /// @param client the question.
    void answer(const std::shared_ptr<server_exchange>& client);

    /// @return true when this daemon reads the store.
    bool is_reader() const { return m_role.is_reader(); }

private:
    /// A peer that is followed.
    struct followed_peer {
        std::unique_ptr<peer_follower> follower;
        steady_time stale_since; ///< Valid while it is stale.
        bool is_stale = false;
    };

    /// A peer that is not followed for a while, because it was of no use.
    struct passed_over {
        steady_time until;
        bool is_reachable = false;
        bool has_lost_store = false;
    };

    void tick();
    void update();
    void refresh_order();
    std::vector<std::string> candidates() const;
    void drop_useless(const std::vector<std::string>& wanted);
    void follow_more(const std::vector<std::string>& wanted);
    reader_view view() const;
    bool is_before(const std::string& address) const;
    std::vector<std::string> fresh_sources() const;
    void take_state(const peer_state& state, const std::string& peer);
    std::string any_peer();

    relay_context& m_context;
    hooks m_hooks;
    random_engine m_random;
    state_server m_server;
    reader_role m_role;
    std::vector<std::string> m_order;  ///< Other daemons of the data centre; see reader_order.
    std::vector<std::string> m_hinted; ///< Daemons that a peer said to be fresh.
    std::uint64_t m_order_change = 0;  ///< Change of the directory from which it was made.
    std::map<std::string, followed_peer> m_followed;
    std::map<std::string, passed_over> m_passed_over;
    std::set<std::string> m_contacts; ///< Peers that have called and may not be in the directory.
    plan_fetcher m_fetcher;
    plan_announcer m_announcer;
    int m_ticks = 0;
    bool m_knows_neighbours = false;
    bool m_was_fresh = false;
};

} // namespace galenaroad
