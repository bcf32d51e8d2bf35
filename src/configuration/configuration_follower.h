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

/// A contract request that the caller has to send to the daemon at an address.
struct outgoing_fetch {
    std::string address;
    contract_request request;
};

/// Keeps a daemon's configuration up to date with its peers: fetches versions that peers announce,
/// retries with other peers, and decides when the daemon is ready. Use on the control thread only.
class configuration_follower {
public:
    /// Returns the address of a random live peer; empty when there is none.
    using peer_source = std::function<std::string()>;

    /// @param store the store of the contracts in force; must outlive the follower.
    /// @param time the clock; must outlive the follower.
    /// @param random_peer selects the peers that are asked until the daemon is ready.
    configuration_follower(configuration_store& store, const clock& time, peer_source random_peer);

    /// Handles the announcement that a peer holds a version.
    /// @param head the version.
    /// @param address the peer's address.
    void on_contract_head(const contract_head& head, const std::string& address);

    /// Handles a peer's contracts fingerprint that differs from this daemon's.
    /// @param address the peer's address.
    void on_contracts_differ(const std::string& address);

    /// Handles a successful read of the table whose contracts were applied.
    void on_table_read();

    /// Retries fetches that got no response. Until the daemon is ready, compares its contracts with
    /// random peers, or requests all when it has none.
    void tick();

    /// @return the contract requests to send; each is returned once.
    std::vector<outgoing_fetch> take_fetches();

    /// Answers a peer's contract request.
    /// @param request the peer's request.
    /// @return the response.
    contract_response answer(const contract_request& request) const;

    /// Merges the response to a contract request of this daemon.
    /// @param address the peer's address.
    /// @param response the response, or one part of a streamed response.
    void merge(const std::string& address, const contract_response& response);

    /// @return whether the daemon holds a configuration at least as new as a ready peer's or the
    /// table's.
    bool ready() const { return m_ready; }

private:
    struct wanted_contract {
        std::uint64_t version = 0;
        std::vector<std::string> holders; ///< Peers that announced it; the next to ask is first.
        steady_time requested_at;
        bool requested = false;
        int attempts = 0;
    };

    void request_version(const std::string& business, wanted_contract& wanted);
    void drop_satisfied();

    configuration_store& m_store;
    const clock& m_clock;
    std::map<std::string, wanted_contract> m_wanted;
    std::vector<outgoing_fetch> m_fetches;
    peer_source m_random_peer;
    steady_time m_last_change;
    steady_time m_last_comparison;
    bool m_compared_with_ready_peer = false; ///< A ready peer has sent all its versions.
    bool m_ready = false;
};

} // namespace galenaroad
