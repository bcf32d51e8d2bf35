#pragma once

#include "model/contract.h"

#include <chrono>
#include <string>
#include <vector>

namespace galenaroad {

/// The planned settings of one service for one day.
struct sheet_row {
    std::string service;
    int floor_slots = 0;
    detection_policy policy = detection_policy::careful;
    std::chrono::milliseconds max_timeout{
        0};       ///< Upper limit for the timeouts of the service's routes.
    int line = 0; ///< Position in the file, for errors.
    int column = 0;
};

/// The planners' sheet for one business and one day.
struct sheet {
    std::string file;
    std::string date; ///< YYYY-MM-DD.
    std::string business;
    std::vector<sheet_row> rows;
    int end_line = 0; ///< Position of the end row, for errors.
};

} // namespace galenaroad
