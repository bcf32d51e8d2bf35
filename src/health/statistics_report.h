#pragma once

#include "health/service_health.h"
#include "health/statistics_collector.h"
#include "model/upstream.h"

#include <string>
#include <vector>

namespace galenaroad {

/// Statistics of one upstream, sent by its owner to the evaluator of its service.
struct statistics_report {
    service_id service;
    upstream_id upstream;
    std::vector<reported_statistics> statistics;
    owner_assessment assessment; ///< From which the evaluator may propose an ejection.
};

/// A statistics report and the peer address that it is sent to.
struct outgoing_statistics_report {
    std::string address;
    statistics_report report;
};

} // namespace galenaroad
