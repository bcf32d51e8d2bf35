#include "fleet/restart_record_check.h"

namespace galenaroad {

void restart_record_check::on_records(const std::vector<owner_record>& records, store_era era)
{
    for (const auto& record : records) {
        const bool is_own = record.address == m_own_address;
        // A daemon's first record may be written before it knows the era.
        const bool is_in_doubt = is_own && !record.era.is_known() && era.has_predecessors();
        if (record.era.is_before(era) || is_in_doubt) {
            m_store_was_restored = true;
        }
        if (is_own && era.is_known() && record.era == era) {
            m_own_record_is_current = true;
        }
    }
}

bool restart_record_check::may_lack_departure() const
{
    return m_store_was_restored && !m_own_record_is_current && !m_peers_are_up_to_date;
}

} // namespace galenaroad
