#pragma once

#include "model/contract.h"

#include <string>

namespace galenaroad {

/// Writes a contract as a YAML declaration. The output is deterministic, with services and routes
/// in a fixed order, so that diffs in version control show only changes of content.
class contract_writer {
public:
    /// Writes the declaration without version, writer and sheet date.
    /// @param value the contract.
    /// @return YAML text that contract_loader reads.
    static std::string to_yaml(const contract& value);

    /// Sorts services by name, and routes by prefix and methods.
    /// @param value the contract.
    /// @return the contract in the order in which it is written.
    static contract normalised(contract value);
};

} // namespace galenaroad
