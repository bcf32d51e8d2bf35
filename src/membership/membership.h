#pragma once

#include "base/clock.h"
#include "base/random_engine.h"
#include "membership/gossip_message.h"
#include "membership/membership_settings.h"
#include "membership/membership_view.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace galenaroad {

/// What membership reports. All hooks run on the control thread and may be empty.
struct membership_hooks {
    /// The view was replaced. The new one is passed.
    std::function<void(const std::shared_ptr<const membership_view>&)> changed;
    /// A peer holds this contract version; the address is the peer's.
    std::function<void(const contract_head&, const std::string&)> contract_head_received;
    /// A peer's set of contracts differs from the fingerprint; the address is the peer's.
    std::function<void(const std::string&)> contracts_differ;
    /// A row copy with a higher version arrived; `remaining` is its validity from now.
    std::function<void(const ejection_row&)> ejection_row_received;
    /// The member answers others but not this daemon (false), or answers this daemon again (true).
    std::function<void(const std::string&, bool)> link_reported;
};

/// An exchange of members that the caller has to carry out with the daemon at an address.
struct outgoing_synchronise {
    std::string address;
    member_request request;
};

/// Members of the fleet and their announced upstreams as one daemon knows them: join, failure
/// detection, dissemination, anti-entropy and departure. Not thread-safe: it belongs to the control
/// thread. Call tick() at least every 100 ms and then send what take_*() returns.
class membership {
public:
    class builder;

    membership(const membership&) = delete;
    membership& operator=(const membership&) = delete;
    membership(membership&&) = delete;
    membership& operator=(membership&&) = delete;
    ~membership();

    /// Does all work that is due by the clock.
    void tick();

    /// Handles a gossip message from a peer.
    /// @param message the message.
    void receive(const gossip_message& message);

    /// Announces or renews an upstream of this instance. It expires unless renewed.
    /// @param announced the upstream; the instance in its id is ignored.
    void announce(const upstream& announced);

    /// Withdraws an upstream of this instance, at once.
    /// @param name the upstream's name.
    void withdraw(const std::string& name);

    /// Marks this instance as leaving and tells peers at once.
    void leave();

    /// Passes on that this daemon holds a contract version.
    /// @param head the version.
    void broadcast(const contract_head& head);

    /// Passes on a row of table `ejections`. Lower or equal versions are ignored.
    /// @param row the row, with its validity from now.
    void broadcast(const ejection_row& row);

    /// Sets the hash of all contract heads held, which pings carry so that peers notice a miss.
    /// @param fingerprint the hash; see configuration_store::fingerprint().
    void set_contracts_fingerprint(std::uint64_t fingerprint);

    /// @return gossip messages to send; each is returned once.
    std::vector<outgoing_gossip> take_gossip();

    /// @return exchanges to carry out; each is returned once.
    std::vector<outgoing_synchronise> take_synchronise();

    /// Answers a peer's exchange.
    /// @param request the peer's request.
    /// @return the response.
    member_response answer(const member_request& request);

    /// Merges the response to an exchange that this daemon asked for.
    /// @param address the address that answered.
    /// @param response the response.
    void merge(const std::string& address, const member_response& response);

    /// @return whether a peer has answered an exchange since the start.
    bool joined() const;

    /// @return whether a daemon with the same name and a higher incarnation was seen after joining.
    bool superseded() const;

    /// @return this daemon's incarnation. It can rise until joined() and never afterwards.
    std::uint64_t incarnation() const;

    /// @return the current snapshot; the same pointer until something changes.
    std::shared_ptr<const membership_view> view() const;

    /// @return the valid ejection rows, each with its remaining validity.
    std::vector<ejection_row> ejection_rows() const;

private:
    class state;

    explicit membership(std::unique_ptr<state> initial);

    std::unique_ptr<state> m_state;
};

/// Collects the parts of a membership.
class membership::builder {
public:
    /// @param name the instance's name, unique in the fleet.
    builder& name(std::string name);
    /// @param address IP number and port of this daemon's gRPC listener.
    builder& peer_address(std::string address);
    /// @param location where the instance stands.
    builder& location(data_centre location);
    /// @param values times, limits and join ranges.
    builder& settings(membership_settings values);
    /// @param values what to call on events.
    builder& hooks(membership_hooks values);
    /// @param source the clock; must outlive the membership.
    builder& time(const clock& source);
    /// @param engine the random engine; must outlive the membership.
    builder& random(random_engine& engine);

    /// @return the membership; its incarnation is taken from the clock now.
    std::unique_ptr<membership> build();

private:
    std::string m_name;
    std::string m_peer_address;
    data_centre m_location;
    membership_settings m_settings;
    membership_hooks m_hooks;
    const clock* m_clock = nullptr;
    random_engine* m_random = nullptr;
};

} // namespace galenaroad
