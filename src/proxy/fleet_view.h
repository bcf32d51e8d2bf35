#pragma once

#include "model/contract.h"
#include "routing/routing_snapshot.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace galenaroad {

/// Immutable snapshot that the control thread publishes and traffic threads read.
struct fleet_view {
    std::vector<instance> instances;
    std::vector<std::shared_ptr<const contract>> contracts;
    std::shared_ptr<const routing_snapshot> routing;

    /// Finds the version in force of a business's contract.
    /// @param business the business.
    /// @return the version, or 0 when none is held.
    std::uint64_t contract_version(const std::string& business) const;
};

} // namespace galenaroad
