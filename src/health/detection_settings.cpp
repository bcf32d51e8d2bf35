#include "health/detection_settings.h"

namespace galenaroad {

detection_settings settings_for(detection_policy policy)
{
    detection_settings settings{};
    settings.slowdown = 2.5;
    settings.failure_excess = 0.25;
    if (policy == detection_policy::fast) {
        settings.evidence_threshold = 9;
        settings.least_samples = 5;
    }
    else {
        settings.evidence_threshold = 18;
        settings.least_samples = 12;
    }
    return settings;
}

} // namespace galenaroad
