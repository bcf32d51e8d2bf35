#pragma once

#include "model/contract.h"
#include "model/contract_version.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace galenaroad {

/// Immutable set of the contracts in force, by business. Request threads share it.
struct configuration_snapshot {
    std::map<std::string, std::shared_ptr<const contract>> contracts;
    std::uint64_t number = 0; ///< Increases by one with each snapshot of the same daemon.
};

/// Contracts in force on one daemon. Only a higher version replaces a contract, so a contract never
/// reverts to an older version.
class configuration_store {
public:
    /// Called after a contract has been put in force.
    using change_hook = std::function<void(const contract&)>;

    /// @param changed the callback; may be empty.
    explicit configuration_store(change_hook changed = {});

    /// Puts a contract in force if its version is higher than the current one.
    /// @param value the contract.
    /// @return whether it was put in force.
    bool apply(contract value);

    /// Puts a contract received from a peer in force if its version is higher than the current one.
    /// @param record the contract as peers exchange it.
    /// @return whether it was put in force; a record with a corrupt body is ignored.
    bool adopt(const contract_record& record);

    /// @return the versions in force, sorted by business.
    std::vector<contract_head> heads() const;

    /// Finds contracts that another daemon lacks.
    /// @param heads the other daemon's versions.
    /// @return the contracts that it lacks or has in a lower version.
    std::vector<contract_record> missing_from(const std::vector<contract_head>& heads) const;

    /// @param business a business.
    /// @return the version in force, or zero.
    std::uint64_t version_of(const std::string& business) const;

    /// @return the contracts in force; the same pointer until something changes.
    std::shared_ptr<const configuration_snapshot> snapshot() const { return m_snapshot; }

    /// @return a hash of all heads, equal on daemons with the same versions.
    std::uint64_t fingerprint() const { return m_fingerprint; }

    /// Answers a peer's contract request.
    /// @param request the peer's request.
    /// @return the response, with `ready` not set; see configuration_follower::answer().
    contract_response answer(const contract_request& request) const;

    /// @return a contract request with the digest of the versions in force.
    contract_request digest_request() const;

private:
    struct held_body {
        std::uint64_t version = 0;
        std::string body; ///< Deflated JSON.
    };

    bool put(contract value, std::string body);

    change_hook m_changed;
    std::shared_ptr<const configuration_snapshot> m_snapshot;
    std::map<std::string, held_body> m_bodies;
    std::uint64_t m_fingerprint = 0;
};

} // namespace galenaroad
