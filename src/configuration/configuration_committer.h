#pragma once

#include "base/result.h"
#include "configuration/contract_row.h"
#include "model/contract.h"

#include <cstdint>
#include <string>
#include <vector>

namespace galenaroad {

class object_store;
class table_service;

/// Outcome of a commit that reached a decision.
struct commit_outcome {
    bool accepted = false;
    contract current; ///< The contract in the table: the caller's, or the winner's.
    /// What the winner changed against the version that the caller's change was based on, one line
    /// each, as `routes[/orders].timeout_ms: 2000 -> 3000`. Empty when accepted.
    std::vector<std::string> changes;
};

/// Commits contract versions by compare-and-set on rows `contracts/<business>`.
class configuration_committer {
public:
    /// @param table the table service.
    /// @param objects the object store, for bodies above 64 KiB.
    configuration_committer(table_service& table, object_store& objects);

    /// Commits the successor of a version.
    /// @param base the version that the change is based on; version zero for the first.
    /// @param next the new content. Its version is set to base + 1.
    /// @param writer identity of this write, unique to it: a writer recognises its own write by it.
    /// @return the outcome; `outcome_unknown` when the table cannot tell, in which case repeating
    /// the call with the same writer is safe; or `store_unavailable` when nothing was written.
    result<commit_outcome> commit(const contract& base, contract next, const std::string& writer);

    /// Reads the accepted version of a business.
    /// @param business the business.
    /// @return the contract; version zero when there is none; or an error.
    result<contract> read(const std::string& business);

private:
    struct stored_row {
        contract_row row;
        std::string tag;
    };

    result<stored_row> read_row(const std::string& business);
    std::error_code write(const stored_row& current, const contract& next);
    commit_outcome lost(const contract& base, const contract& current, const contract& next);

    table_service& m_table;
    object_store& m_objects;
};

} // namespace galenaroad
