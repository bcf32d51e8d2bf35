#pragma once

#include "ctl/ctl_options.h"
#include "ctl/ctl_report.h"

namespace galenaroad {

/// Commands on the contracts in the table service.
class contract_commands {
public:
    /// Shows what applying files would change.
    /// @param options the command line.
    /// @return the outcome.
    static ctl_report diff(const ctl_options& options);

    /// Commits a declaration, a sheet or both as the next version of a business's contract, and
    /// tells a daemon. A race is lost without effect and shows what the winner changed.
    /// @param options the command line.
    /// @return the outcome.
    static ctl_report apply(const ctl_options& options);

    /// Prints the contract in force as a declaration.
    /// @param options the command line.
    /// @return the outcome.
    static ctl_report print_contract(const ctl_options& options);
};

} // namespace galenaroad
