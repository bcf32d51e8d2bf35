#include "proxy/action_services.h"

#include <algorithm>

namespace galenaroad {

namespace {

constexpr std::size_t settlements_per_round = 16;

std::string new_secret(random_engine& random)
{
    std::string secret;
    for (int i = 0; i < 4; ++i) {
        secret += std::to_string(random());
    }
    return secret;
}

incarnation_alive alive_by_name(const snapshot_cell<fleet_view>& view)
{
    return [&view](const std::string& instance, std::uint64_t incarnation) {
        const auto members = view.load()->members;
        const auto* const known = members ? members->find(instance) : nullptr;
        return known != nullptr && known->record->incarnation == incarnation;
    };
}

issuer_alive alive_by_address(const snapshot_cell<fleet_view>& view)
{
    return [&view](const std::string& address, std::uint64_t incarnation) {
        const auto members = view.load()->members;
        if (!members) {
            return false;
        }
        const auto& all = members->members();
        return std::any_of(all.begin(), all.end(), [&](const member& known) {
            return known.record->incarnation == incarnation &&
                   known.record->peer_address == address;
        });
    };
}

} // namespace

action_services::action_services(const daemon_identity& identity, table_service& tables,
                                 object_store& objects, const clock& time,
                                 const snapshot_cell<fleet_view>& view, random_engine random)
    : m_attempts(identity, random),
      m_ledger(tables, objects, time, m_attempts, alive_by_name(view)),
      m_issued(identity, new_secret(random), time),
      m_gate(m_ledger, m_issued, m_attempts, time, alive_by_address(view))
{
}

void action_services::retry_pending()
{
    if (m_ledger.pending() > 0) {
        m_ledger.retry_pending(settlements_per_round);
    }
}

} // namespace galenaroad
