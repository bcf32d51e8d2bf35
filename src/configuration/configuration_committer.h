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

/// Outcome of a commit that was either accepted or rejected.
struct commit_outcome {
    bool accepted = false;
    contract
        current; ///< The contract in the table: the caller's, or the one that was accepted first.
    /// Differences between the version that the caller's change was based on and the accepted one,
    /// one line each, as `routes[/orders].timeout_ms: 2000 -> 3000`. Empty when accepted.
    std::vector<std::string> changes;
};

/// Commits contract versions by compare-and-set on rows `contracts/<business>`.
class configuration_committer {
public:
    /// @param table the table service.
    /// @param objects the object store, for bodies above 64 KiB.
    configuration_committer(table_service& table, object_store& objects);

    /// Commits the successor of a version.
    /// @param base the version that the change is based on; version zero for the first commit.
    /// @param next the new content. Its version is set to base + 1.
    /// @param writer unique identity of this write, by which a writer recognises its own write.
    /// @return the outcome; `outcome_unknown` when the write may or may not have been applied, in
    /// which case repeating the call with the same writer is safe; or `store_unavailable` when
    /// nothing was written.
    result<commit_outcome> commit(const contract& base, contract next, const std::string& writer);

    /// Reads the accepted version of a business.
    /// @param business the business.
    /// @return the contract, with version zero when there is none; or an error.
    result<contract> read(const std::string& business);

private:
    struct stored_row {
        contract_row row;
        std::string tag;
    };

    result<stored_row> read_row(const std::string& business);
    std::error_code write(const stored_row& current, const contract& next);
    commit_outcome rejected_outcome(const contract& base, const contract& current,
                                    const contract& next);

    table_service& m_table;
    object_store& m_objects;
};

} // namespace galenaroad
