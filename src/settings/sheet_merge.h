#pragma once

#include "model/contract.h"
#include "settings/sheet.h"
#include "settings/source_error.h"

namespace galenaroad {

/// Outcome of merging a sheet into a contract.
struct merged_contract {
    contract next;        ///< Content of the next version, with the version and writer in force.
    bool changed = false; ///< False when the sheet in force was submitted again.
};

/// Combines the contract of a business with its planners' sheet.
///
/// The sheet determines the floors and policies of all services. Its maximum timeout can only lower
/// the timeouts of routes; to raise one, apply a declaration and a sheet together.
class sheet_merge {
public:
    /// Applies a sheet to the contract in force.
    /// @param current the contract in force.
    /// @param planned the sheet.
    /// @return the next contract, or all errors: a different business, unknown or missing services,
    /// or a date that is not newer than the one in force while the content differs.
    static load_result<merged_contract> apply(const contract& current, const sheet& planned);

    /// Applies a new declaration and a sheet together.
    /// @param current the contract in force.
    /// @param declared the new declaration.
    /// @param planned the sheet.
    /// @return the next contract, or all errors.
    static load_result<merged_contract> apply(const contract& current, const contract& declared,
                                              const sheet& planned);

    /// Keeps the values of the sheet in force when a new declaration is applied.
    /// @param current the contract in force.
    /// @param declared the new declaration.
    /// @return the declaration with the floors, policies and lowered timeouts of the sheet in
    /// force, or unchanged when no sheet is in force.
    static contract keep_sheet(const contract& current, contract declared);
};

} // namespace galenaroad
