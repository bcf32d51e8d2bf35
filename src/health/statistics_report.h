#pragma once

#include "health/service_health.h"
#include "health/statistics_collector.h"
#include "model/upstream.h"

#include <string>
#include <vector>

namespace galenaroad {

/// Levels of one upstream, from its owner to the evaluator of its service.
struct statistics_report {
    service_id service;
    upstream_id upstream;
    std::vector<reported_statistics> statistics;
    owner_assessment
        assessment; ///< The owner's own view, from which the evaluator proposes an ejection.
};

/// A level report and the peer address that it goes to.
struct outgoing_statistics_report {
    std::string address;
    statistics_report report;
};

} // namespace galenaroad
