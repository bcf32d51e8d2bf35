#pragma once

#include "relay/peer_follower.h"
#include "relay/relay_context.h"
#include "relay/store_reader_role.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace galenaroad {

/// Finds and follows the daemons of the data centre that read the store.
///
/// Two daemons are followed, the first ones of the store_reader_order that are fresh. While none
/// responds, more and more daemons are tried in parallel, so that suspended or lost instances at
/// the front of the order do not delay the others.
class reader_tracker {
public:
    /// Called with each response of a followed daemon.
    using state_hook = std::function<void(const peer_state& state, const std::string& peer)>;

    /// @param context shared state; must outlive the tracker.
    /// @param on_state called with each response.
    reader_tracker(relay_context& context, state_hook on_state);

    /// Chooses whom to follow.
    /// @param accepts_any true to follow daemons after this one in the order as well.
    void update(bool accepts_any);

    /// Makes the next update try these daemons first.
    /// @param addresses daemons that a peer reported as fresh.
    void suggest(std::vector<std::string> addresses) { m_suggested = std::move(addresses); }

    /// @return what is known of the daemons that precede this one in the order.
    preceding_daemons preceding() const;

    /// @return the followed daemons that are fresh.
    std::vector<std::string> fresh() const;

    /// @return the followed daemons that are not known to be unreachable.
    std::vector<std::string> reachable() const;

    /// @return the latest plan versions of the followed daemons, by their address.
    std::map<std::string, std::uint64_t> plan_versions() const;

    /// @return true when the daemon is followed.
    bool follows(const std::string& address) const { return m_followed.count(address) > 0; }

    /// @return number of followed daemons.
    std::size_t followed_count() const { return m_followed.size(); }

    /// @return number of daemons that are not followed for a while.
    std::size_t skipped_count() const { return m_skipped.size(); }

    /// @return number of other daemons of the data centre.
    std::size_t daemon_count() const { return m_order.size(); }

private:
    /// A peer that is followed.
    struct followed_peer {
        std::unique_ptr<peer_follower> follower;
        steady_time stale_since; ///< Valid while is_stale is true.
        bool is_stale = false;
    };

    /// A peer that is not followed for a while, because it was unreachable or stale.
    struct skipped_peer {
        steady_time until;
        bool is_reachable = false;
        bool has_lost_store = false;
    };

    void refresh_order();
    std::vector<std::string> candidates(bool accepts_any) const;
    bool is_suggested(const std::string& address) const;
    bool precedes_self(const std::string& address) const;
    void end_skips();
    void drop_unusable(const std::vector<std::string>& wanted);
    bool skip_if_unusable(const std::string& address, followed_peer& followed);
    void drop_surplus(const std::vector<std::string>& wanted);
    void widen_search();
    void follow_more(const std::vector<std::string>& wanted);

    relay_context& m_context;
    state_hook m_on_state;
    std::vector<std::string> m_order; ///< Other daemons; see store_reader_order.
    std::uint64_t m_order_change = 0; ///< Directory change from which it was made.
    std::vector<std::string> m_suggested;
    std::map<std::string, followed_peer> m_followed;
    std::map<std::string, skipped_peer> m_skipped;
    std::map<std::string, int> m_failures; ///< Consecutive ones of peers that were unreachable.
    std::size_t m_max_followed = store_reader_role::readers_per_data_centre;
    steady_time m_widened_at; ///< When m_max_followed changed.
};

} // namespace galenaroad
