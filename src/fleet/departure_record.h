#pragma once

#include "fleet/owner_record.h"

namespace galenaroad {

/// Compares the record of a departure with another record of the same owner.
class departure_record {
public:
    /// Returns whether a record says what a departure says. A record of an earlier start of the
    /// owner may have a higher revision, since the wall clock may have been stepped back.
    /// @param known a record of the owner.
    /// @param departure the record of the departure.
    /// @return true if whoever has the known record knows of the departure.
    static bool is_known(const owner_record& known, const owner_record& departure);

    /// Returns whether the record of a departure may replace another one that does not say it.
    /// @param known a record of the owner.
    /// @param departure the record of the departure.
    /// @return false if the known record is later, or of a later start of the upstream.
    static bool may_replace(const owner_record& known, const owner_record& departure);
};

} // namespace galenaroad
