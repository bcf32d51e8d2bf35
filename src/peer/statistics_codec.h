#pragma once

#include "health/statistics_report.h"

#include <vector>

namespace galenaroad {

namespace peer {
class LevelReport;
class LevelResponse;
} // namespace peer

/// Converts level reports and references to and from their protobuf form. Classes that are not
/// known are left out.
class statistics_codec {
public:
    /// @param report the report.
    static peer::LevelReport encode(const statistics_report& report);

    /// @param references the references.
    static peer::LevelResponse encode(const std::vector<class_reference>& references);

    /// @param message the protobuf form.
    static statistics_report decode(const peer::LevelReport& message);

    /// @param message the protobuf form.
    static std::vector<class_reference> decode(const peer::LevelResponse& message);
};

} // namespace galenaroad
