#pragma once

#include "base/clock.h"
#include "base/random_engine.h"
#include "model/contract_version.h"

#include <chrono>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace galenaroad {

class configuration_store;

/// An exchange of contracts that the caller has to carry out with the daemon at an address.
struct outgoing_fetch {
    std::string address;
    contract_request request;
};

/// Keeps a daemon's configuration up with its peers: fetches versions that peers announce, retries
/// with other peers, and decides when the daemon is ready. Belongs to the control thread.
class configuration_follower {
public:
    /// Finds the address of a random live peer; empty when there is none.
    using peer_source = std::function<std::string()>;

    /// @param store the contracts in force; must outlive the follower.
    /// @param time the clock; must outlive the follower.
    /// @param random_peer where to find peers to ask until the daemon is ready.
    configuration_follower(configuration_store& store, const clock& time, peer_source random_peer);

    /// Notes that a peer holds a version.
    /// @param head the version.
    /// @param address the peer's address.
    void heard(const contract_head& head, const std::string& address);

    /// Notes that a peer's set of versions differs from the one held.
    /// @param address the peer's address.
    void differs(const std::string& address);

    /// Notes that a read of the table succeeded and that its contracts were applied.
    void table_read();

    /// Repeats fetches that had no response. Until the daemon is ready, asks peers for everything.
    void tick();

    /// @return exchanges to carry out; each is returned once.
    std::vector<outgoing_fetch> take_fetches();

    /// Answers a peer's exchange.
    /// @param request the peer's request.
    /// @return the response.
    contract_response answer(const contract_request& request) const;

    /// Merges the response, or one piece of it, to an exchange that this daemon asked for.
    /// @param address the address that answered.
    /// @param response the response.
    void merge(const std::string& address, const contract_response& response);

    /// @return whether the daemon holds a configuration at least as new as a ready peer's or the
    /// table's.
    bool ready() const { return m_ready; }

private:
    struct wanted_contract {
        std::uint64_t version = 0;
        std::vector<std::string> holders; ///< Peers that announced it, latest last.
        steady_time asked_at;
        bool asked = false;
        int attempts = 0;
    };

    void ask(const std::string& business, wanted_contract& wanted);
    void drop_satisfied();

    configuration_store& m_store;
    const clock& m_clock;
    std::map<std::string, wanted_contract> m_wanted;
    std::vector<outgoing_fetch> m_fetches;
    peer_source m_random_peer;
    steady_time m_last_change;
    steady_time m_last_comparison;
    bool m_answered = false; ///< A ready peer has told all its versions.
    bool m_ready = false;
};

} // namespace galenaroad
