#pragma once

#include "configuration/configuration_store.h"
#include "membership/membership_view.h"
#include "routing/routing_snapshot.h"

#include <cstdint>
#include <memory>
#include <string>

namespace galenaroad {

/// Immutable snapshot that the control thread publishes and traffic threads read.
struct fleet_view {
    std::shared_ptr<const membership_view> members;
    std::shared_ptr<const configuration_snapshot> contracts;
    std::shared_ptr<const routing_snapshot> routing;
    bool ready = false; ///< A configuration is in force.

    /// Finds the version in force of a business's contract.
    /// @param business the business.
    /// @return the version, or 0 when none is held.
    std::uint64_t contract_version(const std::string& business) const;
};

} // namespace galenaroad
