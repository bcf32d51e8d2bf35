#pragma once

#include "base/result.h"
#include "health/ejection_ledger.h"
#include "health/ejection_row.h"
#include "model/upstream.h"

#include <string>
#include <vector>

namespace galenaroad {

/// Kind of change that an evaluator asks the table service for.
enum class ejection_command_kind { propose, renew, release, drain };

/// A change of a service's row. Carried out by an ejection_ledger off the control thread.
struct ejection_command {
    ejection_command_kind kind = ejection_command_kind::propose;
    service_capacity capacity;
    upstream_id upstream;               ///< For propose and release.
    std::string reason;                 ///< For propose.
    std::vector<upstream_id> upstreams; ///< For renew.
};

/// Carries out an order. Blocks on the table service.
/// @param order the order.
/// @param ledger writes the row.
/// @return the row in force, or why it was not changed.
result<aged_row> execute(const ejection_command& command, ejection_ledger& ledger);

} // namespace galenaroad
