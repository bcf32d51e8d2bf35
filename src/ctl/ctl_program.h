#pragma once

#include "ctl/ctl_options.h"
#include "ctl/ctl_report.h"

#include <functional>
#include <string>
#include <vector>

namespace galenaroad {

/// A subcommand of galenaroadctl.
struct ctl_command {
    std::string name;
    std::string arguments; ///< As shown in the help.
    std::string summary;
    std::function<ctl_report(const ctl_options&)> run;
};

/// Finds and runs subcommands.
class ctl_program {
public:
    ctl_program();

    /// Runs the program.
    /// @param options the command line.
    /// @return the outcome.
    ctl_report run(const ctl_options& options) const;

private:
    std::string help(const ctl_options& options) const;
    ctl_report unknown(const std::string& name) const;
    std::string bash_completion() const;

    std::vector<ctl_command> m_commands;
};

} // namespace galenaroad
