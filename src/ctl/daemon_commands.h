#pragma once

#include "ctl/ctl_options.h"
#include "ctl/ctl_report.h"

namespace galenaroad {

/// Commands that ask a running daemon.
class daemon_commands {
public:
    /// Shows whether the daemon is ready, and the fleet as it knows it.
    /// @param options the command line.
    /// @return the outcome.
    static ctl_report status(const ctl_options& options);

    /// Takes an upstream out of service if the floor allows.
    /// @param options the command line.
    /// @return the outcome.
    static ctl_report drain(const ctl_options& options);

    /// Returns a drained upstream to service.
    /// @param options the command line.
    /// @return the outcome.
    static ctl_report undrain(const ctl_options& options);

    /// Issues an idempotency key that is bound to the daemon.
    /// @param options the command line.
    /// @return the outcome.
    static ctl_report issue_key(const ctl_options& options);
};

} // namespace galenaroad
