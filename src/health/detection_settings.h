#pragma once

#include "model/contract.h"

#include <chrono>
#include <cstddef>

namespace galenaroad {

/// Parameters of the outlier detector. Both policies use one mechanism.
struct detection_settings {
    double evidence_threshold; ///< Log-likelihood ratio at which an upstream is sick.
    std::size_t min_samples;   ///< Attempts needed before an upstream can be sick.
    double slowdown;           ///< Service time ratio to the peers that the test looks for.
    double failure_excess;     ///< Failure ratio above the peers' that the test looks for.
};

/// Settings of a policy.
/// @param policy the policy that the service declares.
/// @return the settings.
detection_settings settings_for(detection_policy policy);

} // namespace galenaroad
