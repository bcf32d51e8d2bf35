#pragma once

#include "model/contract.h"
#include "model/contract_version.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace galenaroad {

/// Immutable set of the contracts in force, by business. Traffic threads share it.
struct configuration_snapshot {
    std::map<std::string, std::shared_ptr<const contract>> contracts;
    std::uint64_t number = 0; ///< Rises by one with each snapshot of the same daemon.
};

/// Contracts in force at one daemon. A version is replaced by a higher one only, so nothing
/// reverts.
class configuration_store {
public:
    /// Called after a contract came into force.
    using change_hook = std::function<void(const contract&)>;

    /// @param changed the hook; may be empty.
    explicit configuration_store(change_hook changed = {});

    /// Puts a contract in force if its version is higher than the one held.
    /// @param value the contract.
    /// @return whether it replaced what was held.
    bool apply(contract value);

    /// Puts a contract that a peer sent in force if its version is higher.
    /// @param record the contract as peers exchange it.
    /// @return whether it replaced what was held; damaged bodies replace nothing.
    bool adopt(const contract_record& record);

    /// @return the versions held, in the order of businesses.
    std::vector<contract_head> heads() const;

    /// Finds contracts that a holder of given heads lacks.
    /// @param heads the other's versions.
    /// @return the contracts that it lacks or holds in a lower version.
    std::vector<contract_record> missing_from(const std::vector<contract_head>& heads) const;

    /// @param business a business.
    /// @return the version held, or zero.
    std::uint64_t version_of(const std::string& business) const;

    /// @return the contracts in force; the same pointer until something changes.
    std::shared_ptr<const configuration_snapshot> snapshot() const { return m_snapshot; }

    /// @return hash of all heads, equal at daemons that hold the same versions.
    std::uint64_t fingerprint() const { return m_fingerprint; }

    /// Answers a peer's exchange of contracts.
    /// @param request the peer's request.
    /// @return the response, with `ready` not set; see configuration_follower::answer().
    contract_response answer(const contract_request& request) const;

    /// Starts an exchange of contracts.
    /// @return a request with the digest of the versions held.
    contract_request digest_request() const;

private:
    struct held_body {
        std::uint64_t version = 0;
        std::string body; ///< Deflated.
    };

    bool put(contract value, std::string body);

    change_hook m_changed;
    std::shared_ptr<const configuration_snapshot> m_snapshot;
    std::map<std::string, held_body> m_bodies;
    std::uint64_t m_fingerprint = 0;
};

} // namespace galenaroad
