#pragma once

#include "base/result.h"
#include "health/ejection_ledger.h"
#include "health/ejection_row.h"
#include "model/upstream.h"

#include <string>
#include <vector>

namespace galenaroad {

/// Kind of change to the row of a service.
enum class ejection_command_kind { propose, renew, release, drain };

/// A requested change of a service's row. It is executed outside the control thread, because it
/// blocks on the table service.
struct ejection_command {
    ejection_command_kind kind = ejection_command_kind::propose;
    service_capacity capacity;
    upstream_id upstream;               ///< For propose, release and drain.
    std::string reason;                 ///< For propose and drain.
    std::vector<upstream_id> upstreams; ///< For renew.
};

/// Executes a command. Blocks until the table service responds.
/// @param command the command.
/// @param ledger writes the row.
/// @return the row in force, or the error of the ledger when the row was not changed.
result<aged_row> execute(const ejection_command& command, ejection_ledger& ledger);

} // namespace galenaroad
