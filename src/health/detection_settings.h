#pragma once

#include "model/contract.h"

#include <chrono>
#include <cstddef>

namespace galenaroad {

/// Parameters of the outlier detector. The detection policies differ only in these values.
struct detection_settings {
    double evidence_threshold; ///< Log-likelihood ratio at which an upstream is unhealthy.
    std::size_t min_samples;   ///< Attempts needed before an upstream can be unhealthy.
    double slowdown;           ///< Ratio to the peers' service time that the latency test detects.
    double failure_excess; ///< Excess over the peers' failure ratio that the failure test detects.
};

/// Returns the settings of a detection policy.
/// @param policy the policy that the service declares.
/// @return the settings.
detection_settings settings_for(detection_policy policy);

} // namespace galenaroad
