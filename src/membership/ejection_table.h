#pragma once

#include "base/clock.h"
#include "membership/gossip_message.h"

#include <map>
#include <optional>
#include <vector>

namespace galenaroad {

/// Copies of the rows of table `ejections` that this daemon has received, each with its expiry time
/// on this daemon's steady clock.
class ejection_table {
public:
    /// Stores a row if its version is higher than the stored one.
    /// @param row the row, with its remaining validity.
    /// @param now the time.
    /// @return whether it was stored.
    bool merge(const ejection_row_copy& row, steady_time now);

    /// @param id a service.
    /// @param now the time.
    /// @return its row with the remaining validity, or nothing when there is no valid row.
    std::optional<ejection_row_copy> find(const service_id& id, steady_time now) const;

    /// @param now the time.
    /// @return all valid rows.
    std::vector<ejection_row_copy> rows(steady_time now) const;

    /// @param id a service.
    /// @return the highest row version received, or zero.
    std::uint64_t version_of(const service_id& id) const;

    /// Removes rows that expired longer ago than the version retention time.
    /// @param now the time.
    void expire(steady_time now);

private:
    struct held_row {
        std::uint64_t version = 0;
        std::string row;
        steady_time expires;
    };

    std::map<service_id, held_row> m_rows;
};

} // namespace galenaroad
