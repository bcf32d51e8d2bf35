#pragma once

#include "ctl/ctl_options.h"
#include "ctl/ctl_report.h"

namespace galenaroad {

/// Checks files without any connection.
class check_command {
public:
    /// Checks all files and reports all faults. The first faulty file sets the exit code.
    /// @param options the command line.
    /// @return the outcome.
    static ctl_report run(const ctl_options& options);
};

} // namespace galenaroad
