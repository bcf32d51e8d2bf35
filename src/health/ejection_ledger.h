#pragma once

#include "base/clock.h"
#include "health/ejection_row.h"
#include "platform/table_service.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace galenaroad {

/// A row with the time since it was written, as far as its sender knows.
struct aged_row {
    ejection_row row;
    std::chrono::milliseconds age{0};
};

/// Writes ejections and drains to the table service and keeps the capacity floor.
///
/// Every change is a compare-and-set on the service's row, so that racing evaluators cannot
/// together take a service below its floor. Calls block on the store: they belong on a thread of
/// their own and not on the control thread.
class ejection_ledger {
public:
    static constexpr const char* table_name = "ejections";
    /// Attempts at a write that other writers overtake.
    static constexpr int write_attempts = 4;

    /// @param store the table service.
    /// @param time the clock.
    /// @param writer identity of this daemon and its incarnation, unique in the fleet.
    ejection_ledger(table_service& store, const clock& time, std::string writer);

    /// Ejects an upstream if the floor allows, or renews its ejection.
    /// @param capacity the live members and the floor of the service.
    /// @param upstream the upstream.
    /// @param reason the evidence.
    /// @return the row in force, `floor_would_be_breached`, `store_unavailable`,
    ///         `version_conflict`, or `outcome_unknown` when the store could not be asked again.
    result<aged_row> propose(const service_capacity& capacity, const upstream_id& upstream,
                             const std::string& reason);

    /// Renews several ejections, and all drains, with one write. Entries that no longer exist are
    /// not added again. Nothing is renewed while the service is below its floor.
    /// @param capacity the live members and the floor of the service.
    /// @param upstreams the upstreams that are still unhealthy.
    /// @return the row in force, or an error as for propose().
    result<aged_row> renew(const service_capacity& capacity,
                           const std::vector<upstream_id>& upstreams);

    /// Ends an ejection or a drain early. Its capacity counts again after the grace time.
    /// @param service the service.
    /// @param upstream the upstream.
    /// @return the row in force, or an error as for propose().
    result<aged_row> release(const service_id& service, const upstream_id& upstream);

    /// Drains an upstream if the floor allows. A drain stays in force until it is released.
    /// @param capacity the live members and the floor of the service.
    /// @param upstream the upstream.
    /// @param reason the operator's reason.
    /// @return the row in force, or an error as for propose().
    result<aged_row> drain(const service_capacity& capacity, const upstream_id& upstream,
                           const std::string& reason);

    /// Reads the row.
    /// @param service the service.
    /// @return the row in force, or an error.
    result<aged_row> refresh(const service_id& service);

    /// @return the number of write calls made to the store.
    std::uint64_t writes() const { return m_writes; }

private:
    /// What this daemon knows of a grant, on its own clock.
    struct known_grant {
        steady_time honoured_until; ///< In the past for grants of unknown age.
        steady_time counted_until;
    };
    struct known_row {
        ejection_row row;
        std::string tag; ///< Empty when the row does not exist.
        std::map<std::string, known_grant> grants;
    };
    /// Changes a row, using the given write identity for what it grants. Returns whether the row
    /// has to be written, or an error to give up.
    using row_edit = std::function<result<bool>(ejection_row& row, const std::string& write_id)>;

    result<aged_row> update_row(const service_id& service, const row_edit& apply);
    result<std::string> write_row(const service_id& service, const ejection_row& next,
                                  const std::string& tag);
    result<bool> was_applied(const service_id& service, const std::string& write_id,
                             steady_time started_at);
    result<known_row*> read(const service_id& service, const std::string& own_write_id,
                            steady_time started_at);
    known_row& update_known_row(ejection_row row, std::string tag, const std::string& own_write_id,
                                steady_time started_at);
    ejection_row current_row(const known_row& known) const;
    aged_row aged(const known_row& known) const;
    ejection_entry make_entry(const capacity_member& member, removal_kind kind,
                              const std::string& reason, const std::string& write_id) const;

    table_service& m_store;
    const clock& m_clock;
    std::string m_writer;
    std::uint64_t m_writes = 0;
    std::uint64_t m_serial = 0;
    std::map<service_id, known_row> m_rows;
};

} // namespace galenaroad
