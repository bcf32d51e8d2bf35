#pragma once

#include "daemon/fleet_health.h"
#include "proxy/forwarder.h"
#include "proxy/owner_dispatcher.h"

namespace galenaroad {

/// Converts what traffic threads observe into what the health decisions need.
class observation_mapping {
public:
    /// @param seen an attempt that this daemon made as a caller.
    /// @param now the time at which it ended.
    /// @return the observation.
    static attempt_observation from_entry(const entry_observation& seen, steady_time now);

    /// @param seen an attempt at an upstream of this instance.
    /// @param instance the name of this instance.
    /// @param now the time at which it ended.
    /// @return the observation.
    static attempt_observation from_owner(const owner_observation& seen,
                                          const std::string& instance, steady_time now);
};

} // namespace galenaroad
