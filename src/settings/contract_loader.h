#pragma once

#include "model/contract.h"
#include "settings/source_error.h"

#include <string>

namespace galenaroad {

/// Reads a business's declaration from YAML, validates it and reports all errors with their
/// positions.
///
/// A declaration has no version: the version is assigned when the contract is accepted.
class contract_loader {
public:
    /// Reads a declaration from a file.
    /// @param path the file's path.
    /// @return the contract with version 0, or all errors.
    static load_result<contract> load_file(const std::string& path);

    /// Reads a declaration from a text.
    /// @param file the file name shown in errors.
    /// @param text the YAML text.
    /// @return the contract with version 0, or all errors.
    static load_result<contract> load_text(const std::string& file, const std::string& text);
};

} // namespace galenaroad
