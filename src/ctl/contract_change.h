#pragma once

#include "configuration/configuration_committer.h"
#include "ctl/ctl_report.h"
#include "model/contract.h"

#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace galenaroad {

/// A change that an operator asks for: the contract in force and the wanted one.
struct contract_change {
    contract current;
    contract next;
    std::vector<std::string> changes; ///< One line for each difference.

    /// Reads files and works out what they change.
    /// @param paths one declaration, one sheet or both.
    /// @param committer reads the contract in force.
    /// @return the change, or the report of what is wrong.
    static tl::expected<contract_change, ctl_report>
    from_files(const std::vector<std::string>& paths, configuration_committer& committer);
};

} // namespace galenaroad
