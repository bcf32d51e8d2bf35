#pragma once

#include "base/clock.h"
#include "base/random_engine.h"
#include "membership/address_ranges.h"
#include "membership/ejection_table.h"
#include "membership/failure_detector.h"
#include "membership/gossip_message.h"
#include "membership/member_exchange.h"
#include "membership/member_table.h"
#include "membership/membership_settings.h"
#include "membership/membership_view.h"
#include "membership/name_pool.h"
#include "membership/own_record.h"
#include "membership/update_queue.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace galenaroad {

/// Callbacks of membership. All run on the control thread and may be empty.
struct membership_hooks {
    /// tick() or leave() replaced the view; receives the new one.
    std::function<void(const std::shared_ptr<const membership_view>&)> changed;
    /// A peer has this contract version; receives the version and the peer's address.
    std::function<void(const contract_head&, const std::string&)> contract_head_received;
    /// A peer's contracts fingerprint differs; receives the peer's address.
    std::function<void(const std::string&)> contracts_differ;
    /// A row copy with a higher version was received; `remaining` is its validity from now.
    std::function<void(const ejection_row_copy&)> ejection_row_received;
    /// Reachability of a member changed: it acknowledges pings of this daemon again (true), or only
    /// those of other members (false).
    std::function<void(const std::string&, bool)> link_reported;
};

/// A member request that the caller has to send to the daemon at an address.
struct outgoing_synchronise {
    std::string address;
    member_request request;
};

class membership_builder;

/// Gossip membership as seen by one daemon: the members of the fleet with their announced
/// upstreams. Covers joining, failure detection, dissemination, anti-entropy and leaving. Not
/// thread-safe: use it on the control thread only. Call tick() at least every 100 ms and then send
/// what take_*() returns.
class membership {
public:
    using builder = membership_builder;

    membership(const membership&) = delete;
    membership& operator=(const membership&) = delete;
    membership(membership&&) = delete;
    membership& operator=(membership&&) = delete;
    ~membership() = default;

    /// Does all periodic work that is due.
    void tick();

    /// Handles a gossip message from a peer.
    /// @param message the message.
    void receive(const gossip_message& message);

    /// Announces or renews an upstream of this instance. It expires unless renewed.
    /// @param announced the upstream; the instance in its id is ignored.
    void announce(const upstream& announced);

    /// Withdraws an upstream of this instance and publishes the change immediately.
    /// @param name the upstream's name.
    void withdraw(const std::string& name);

    /// Marks this instance as leaving and notifies peers immediately.
    void leave();

    /// Announces by gossip that this daemon has a contract version.
    /// @param head the version.
    void broadcast(const contract_head& head);

    /// Disseminates a row of table `ejections`. Lower or equal versions are ignored.
    /// @param row the row, with its validity from now.
    void broadcast(const ejection_row_copy& row);

    /// Sets the hash of all contract heads of this daemon. Gossip messages carry it, so that peers
    /// detect missed versions.
    /// @param fingerprint the hash; see configuration_store::fingerprint().
    void set_contracts_fingerprint(std::uint64_t fingerprint);

    /// @return the gossip messages to send; each is returned once.
    std::vector<outgoing_gossip> take_gossip();

    /// @return the member requests to send; each is returned once.
    std::vector<outgoing_synchronise> take_synchronise();

    /// Answers a peer's member request.
    /// @param request the peer's request.
    /// @return the response.
    member_response answer(const member_request& request);

    /// Merges the response to a member request of this daemon.
    /// @param address the peer's address.
    /// @param response the response.
    void merge(const std::string& address, const member_response& response);

    /// @return whether a peer has responded to a member request since the start.
    bool joined() const { return m_joined; }

    /// @return whether a daemon with the same name and a higher incarnation was seen after joining.
    bool superseded() const { return m_superseded; }

    /// @return this daemon's incarnation. It can increase until joined(), but not afterwards.
    std::uint64_t incarnation() const;

    /// @return the current snapshot; the same pointer until something changes.
    std::shared_ptr<const membership_view> view() const;

    /// @return the valid ejection rows, each with its remaining validity.
    std::vector<ejection_row_copy> ejection_rows() const;

private:
    friend class membership_builder;

    membership(const member_record& identity, membership_settings settings, membership_hooks hooks,
               const clock& time, random_engine& engine);

    /// Where an update came from.
    struct origin {
        std::string name;
        std::string address;
    };

    bool is_self(const std::string& name) const;
    state_change own_change() const;
    int send_limit() const;
    void send(const std::string& address, gossip_message message,
              const std::vector<state_change>& directed = {});
    void acknowledge(const gossip_message& ping);
    void apply(const gossip_updates& updates, const origin& from);
    void apply(const member& update, const origin& from, update_queue::urgency need);
    void apply(const state_change& change, const origin& from);
    void apply(const ejection_row_copy& row, const origin& from);
    void apply_own(const state_change& change, const origin& from);
    void request_member(const std::string& name, const origin& from);
    void request_comparison(const std::string& address);
    void gossip_if_due(steady_time now);
    void publish(update_queue::urgency need);
    void detect(steady_time now);
    void join(steady_time now);
    void retry_dead_members(steady_time now);
    void ping_dead_member(member_table::slot at);
    void compare_with_random_member(steady_time now);
    void rebuild_view();
    void report_view() const;

    membership_settings m_settings;
    membership_hooks m_hooks;
    const clock& m_clock;
    random_engine& m_random;
    name_pool m_names;
    member_table m_members;
    ejection_table m_ejections;
    own_record m_own;
    update_queue m_queue;
    failure_detector m_detector;
    member_exchange m_exchange;
    address_ranges m_ranges;
    std::vector<outgoing_gossip> m_gossip;
    std::vector<outgoing_synchronise> m_synchronise;
    std::set<std::string> m_own_suspicions;
    std::map<std::string, steady_time> m_member_requested_at;
    std::vector<member_table::slot> m_disputed;
    std::shared_ptr<const membership_view> m_view;
    std::uint64_t m_contracts_fingerprint = 0;
    steady_time m_started;
    steady_time m_last_tick;
    steady_time m_last_gossip;
    steady_time m_last_extra_comparison;
    steady_time m_next_join;
    steady_time m_next_retry;
    steady_time m_next_probe;
    steady_time m_next_comparison;
    bool m_view_changed = true;
    bool m_joined = false;
    bool m_superseded = false;
};

} // namespace galenaroad
