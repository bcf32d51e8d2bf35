#pragma once

#include "model/contract.h"

#include <chrono>
#include <string>
#include <vector>

namespace galenaroad {

/// What the planners ask for one service on one day.
struct sheet_row {
    std::string service;
    int floor_slots = 0;
    detection_policy policy = detection_policy::careful;
    std::chrono::milliseconds max_timeout{0}; ///< Routes of the service time out no later.
    int line = 0;                             ///< Place in the file, for errors.
    int column = 0;
};

/// The planners' sheet of one business and one day.
struct sheet {
    std::string file;
    std::string date; ///< YYYY-MM-DD.
    std::string business;
    std::vector<sheet_row> rows;
    int end_line = 0; ///< Place of the end row, for errors.
};

} // namespace galenaroad
