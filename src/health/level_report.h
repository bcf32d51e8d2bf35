#pragma once

#include "health/level_collector.h"
#include "model/upstream.h"

#include <string>
#include <vector>

namespace galenaroad {

/// Levels of one upstream, from its owner to the evaluator of its service.
struct level_report {
    service_id service;
    upstream_id upstream;
    std::vector<reported_level> levels;
};

/// A level report and the peer address that it goes to.
struct outgoing_level_report {
    std::string address;
    level_report report;
};

} // namespace galenaroad
