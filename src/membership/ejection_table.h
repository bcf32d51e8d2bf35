#pragma once

#include "base/clock.h"
#include "membership/gossip_message.h"

#include <map>
#include <optional>
#include <vector>

namespace galenaroad {

/// Copies of the rows of table `ejections` that this daemon has received, with the time at which
/// each loses its validity by this daemon's own steady clock.
class ejection_table {
public:
    /// Keeps a row if its version is higher than the one known.
    /// @param row the row, with its validity from now.
    /// @param now the time.
    /// @return whether it was kept.
    bool merge(const ejection_row_copy& row, steady_time now);

    /// @param id a service.
    /// @param now the time.
    /// @return its row with the validity that remains, or nothing.
    std::optional<ejection_row_copy> find(const service_id& id, steady_time now) const;

    /// @param now the time.
    /// @return all valid rows.
    std::vector<ejection_row_copy> rows(steady_time now) const;

    /// @param id a service.
    /// @return the highest row version received, or zero.
    std::uint64_t version_of(const service_id& id) const;

    /// Forgets rows that lost their validity long ago.
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
