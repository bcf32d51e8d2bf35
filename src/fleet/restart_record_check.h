#pragma once

#include "fleet/owner_record.h"
#include "fleet/store_era.h"

#include <string>
#include <vector>

namespace galenaroad {

/// Decides after a restart whether the store may lack what an earlier start of this daemon has
/// announced, because it has come back from an older copy and the daemon could not write its record
/// again. Peers may know of a departure then.
class restart_record_check {
public:
    /// @param own_address address of this daemon in its records.
    explicit restart_record_check(std::string own_address) : m_own_address(std::move(own_address))
    {
    }

    /// Handles records that the store has delivered.
    /// @param records the records.
    /// @param era the era of the store.
    void on_records(const std::vector<owner_record>& records, store_era era);

    /// Called when the records of peers include all that an earlier start has announced.
    void on_peers_up_to_date() { m_peers_are_up_to_date = true; }

    /// @return true when the records of peers include all that an earlier start has announced.
    bool peers_are_up_to_date() const { return m_peers_are_up_to_date; }

    /// @return true while only peers can tell whether the upstream has left.
    bool may_lack_departure() const;

private:
    std::string m_own_address;
    bool m_store_was_restored = false;    ///< It has a record of an earlier era.
    bool m_own_record_is_current = false; ///< The store has one that was written in its era.
    bool m_peers_are_up_to_date = false;
};

} // namespace galenaroad
