#include "membership/ejection_table.h"

#include <algorithm>

namespace galenaroad {

namespace {

// Longer than any copy of an older row can stay valid. Otherwise an older copy could be accepted
// again after the newer row has expired.
constexpr auto version_retention = std::chrono::minutes(10);

// Limits the validity that a corrupt message can claim. Rows are granted for 30 s.
constexpr std::chrono::milliseconds max_validity = std::chrono::minutes(5);

} // namespace

bool ejection_table::merge(const ejection_row_copy& row, steady_time now)
{
    auto& held = m_rows[row.service];
    if (row.row_version <= held.version) {
        return false;
    }
    held.version = row.row_version;
    held.row = row.row;
    held.expires = now + std::min(row.remaining, max_validity);
    return true;
}

std::optional<ejection_row_copy> ejection_table::find(const service_id& id, steady_time now) const
{
    const auto found = m_rows.find(id);
    if (found == m_rows.end() || found->second.expires <= now) {
        return std::nullopt;
    }
    const auto& held = found->second;
    const auto remaining =
        std::chrono::duration_cast<std::chrono::milliseconds>(held.expires - now);
    return ejection_row_copy{id, held.version, held.row, remaining};
}

std::vector<ejection_row_copy> ejection_table::rows(steady_time now) const
{
    std::vector<ejection_row_copy> valid;
    for (const auto& each : m_rows) {
        if (auto row = find(each.first, now)) {
            valid.push_back(std::move(*row));
        }
    }
    return valid;
}

std::uint64_t ejection_table::version_of(const service_id& id) const
{
    const auto found = m_rows.find(id);
    return found == m_rows.end() ? 0 : found->second.version;
}

void ejection_table::expire(steady_time now)
{
    for (auto each = m_rows.begin(); each != m_rows.end();) {
        const bool forgotten = now - each->second.expires > version_retention;
        each = forgotten ? m_rows.erase(each) : std::next(each);
    }
}

} // namespace galenaroad
