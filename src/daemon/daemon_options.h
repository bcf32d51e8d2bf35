#pragma once

#include <string>

namespace galenaroad {

/// Command line of the daemon.
struct daemon_options {
    std::string settings_file;
    std::string addresses_file; ///< Where the bound addresses are written; empty for nowhere.
    bool check = false;         ///< Only check the settings.
    bool show_version = false;
    bool show_help = false;
    std::string help;  ///< Text of `--help`.
    std::string fault; ///< What is wrong with the command line; empty when it is valid.

    /// Reads the command line.
    /// @param argc number of arguments.
    /// @param argv the arguments.
    /// @return the options.
    static daemon_options parse(int argc, const char* const* argv);
};

} // namespace galenaroad
