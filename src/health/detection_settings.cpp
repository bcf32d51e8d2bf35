#include "health/detection_settings.h"

namespace galenaroad {

// The thresholds come from the parameter sweep in docs/decisions/gray_detection.md. Neither policy
// ejected a healthy upstream in it; the fast policy detects a fault sooner.
detection_settings settings_for(detection_policy policy)
{
    detection_settings settings{};
    settings.slowdown = 2.5;
    settings.failure_excess = 0.25;
    if (policy == detection_policy::fast) {
        settings.evidence_threshold = 14;
        settings.min_samples = 5;
    }
    else {
        settings.evidence_threshold = 20;
        settings.min_samples = 12;
    }
    return settings;
}

} // namespace galenaroad
