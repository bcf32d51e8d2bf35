#pragma once

#include "health/level_collector.h"
#include "health/service_health.h"
#include "model/upstream.h"

#include <string>
#include <vector>

namespace galenaroad {

/// Levels of one upstream, from its owner to the evaluator of its service.
struct level_report {
    service_id service;
    upstream_id upstream;
    std::vector<reported_level> levels;
    owner_report view; ///< The owner's own view, from which the evaluator proposes an ejection.
};

/// A level report and the peer address that it goes to.
struct outgoing_level_report {
    std::string address;
    level_report report;
};

} // namespace galenaroad
