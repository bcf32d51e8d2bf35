#pragma once

#include "action/action_gate.h"
#include "action/action_ledger.h"
#include "action/attempt_id_source.h"
#include "action/issued_action_table.h"
#include "proxy/fleet_view.h"
#include "proxy/snapshot_cell.h"

#include <string>

namespace galenaroad {

/// The parts of at-most-once execution that belong to one incarnation of the daemon.
class action_services {
public:
    /// All references must outlive the services.
    /// @param identity this run of the daemon.
    /// @param tables the table service.
    /// @param objects the object store.
    /// @param time the clock.
    /// @param view the members.
    /// @param random the seeded engine.
    action_services(const daemon_identity& identity, table_service& tables, object_store& objects,
                    const clock& time, const snapshot_cell<fleet_view>& view, random_engine random);

    /// @return the incarnation that the services belong to.
    std::uint64_t incarnation() const { return m_attempts.daemon().incarnation; }

    /// @return the gate that decides on each action.
    action_gate& gate() { return m_gate; }

    /// @return a new idempotency key, or `upstream_busy`.
    result<std::string> issue_key() { return m_issued.issue(); }

    /// Writes settlements that the store has not confirmed. Blocks on the store.
    void retry_pending();

private:
    attempt_id_source m_attempts;
    action_ledger m_ledger;
    issued_action_table m_issued;
    action_gate m_gate;
};

} // namespace galenaroad
