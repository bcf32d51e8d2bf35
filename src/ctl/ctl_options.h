#pragma once

#include <string>
#include <vector>

namespace galenaroad {

/// What the operator asked for on the command line.
struct ctl_options {
    std::string command;
    std::vector<std::string> arguments;
    bool json_output = false;
    std::string table_address;
    std::string objects_address;
    std::string admin_address;
    std::string entry_address;
    std::string reason; ///< Why an upstream is drained.
    bool dry_run = false;
    bool show_help = false;
    bool show_version = false;
    std::string help;  ///< Text of --help without the list of commands.
    std::string fault; ///< What is wrong with the command line; empty when nothing is.

    /// Parses the command line.
    /// @param argc number of arguments.
    /// @param argv the arguments.
    /// @return the options.
    static ctl_options parse(int argc, const char* const* argv);

    /// @return the names of all options, for completion.
    static const std::vector<std::string>& names();
};

} // namespace galenaroad
