#pragma once

#include "model/contract.h"
#include "settings/source_error.h"

#include <string>

namespace galenaroad {

/// Reads a business's declaration from YAML, checks it and reports all faults with their places.
///
/// A declaration carries no version: a version is given when the contract is accepted.
class contract_loader {
public:
    /// Reads a declaration from a file.
    /// @param path the file's path.
    /// @return the contract with version 0, or all faults.
    static load_result<contract> load_file(const std::string& path);

    /// Reads a declaration from a text.
    /// @param file the name that errors show.
    /// @param text the YAML text.
    /// @return the contract with version 0, or all faults.
    static load_result<contract> load_text(const std::string& file, const std::string& text);
};

} // namespace galenaroad
