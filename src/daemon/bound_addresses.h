#pragma once

#include <string>

namespace galenaroad {

/// Addresses that a running daemon listens on.
struct bound_addresses {
    std::string entry;
    std::string peer;
    std::string admin;

    /// Writes the addresses as JSON, in one step, so that a reader never sees a part of them.
    /// @param path the file.
    /// @return false when the file cannot be written.
    bool write_to(const std::string& path) const;
};

} // namespace galenaroad
