#pragma once

#include "base/clock.h"
#include "health/ejection_row.h"
#include "platform/table_service.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace galenaroad {

/// A row with its age.
struct aged_row {
    ejection_row row;
    std::chrono::milliseconds age{0}; ///< Time since the row was written, if its sender knows it.
};

/// Writes the ejections and drains of services to the table service and enforces each service's
/// capacity floor.
///
/// Every change is a compare-and-set on the service's row, so that concurrent evaluators cannot
/// together take a service below its floor. Calls block until the store responds and must not be
/// made on the control thread.
class ejection_ledger {
public:
    static constexpr const char* table_name = "ejections";
    /// Maximum number of attempts at a change while other writers change the row first.
    static constexpr int max_write_attempts = 4;

    /// @param store the table service.
    /// @param time the clock.
    /// @param writer identifies this daemon and its incarnation; unique in the fleet.
    ejection_ledger(table_service& store, const clock& time, std::string writer);

    /// Ejects an upstream if the capacity floor permits it, or renews its ejection.
    /// @param capacity the live members and the floor of the service.
    /// @param upstream the upstream.
    /// @param reason the evidence against the upstream.
    /// @return the row in force, `floor_would_be_breached`, `store_unavailable`,
    ///         `version_conflict`, or `outcome_unknown` when the response to the write was lost and
    ///         the row could not be read afterwards.
    result<aged_row> propose(const service_capacity& capacity, const upstream_id& upstream,
                             const std::string& reason);

    /// Renews several ejections, and all drains, with one write. An entry that is no longer in the
    /// row is not added again. Nothing is renewed while the service is below its capacity floor.
    /// @param capacity the live members and the floor of the service.
    /// @param upstreams the upstreams that are still unhealthy.
    /// @return the row in force, or an error as for propose().
    result<aged_row> renew(const service_capacity& capacity,
                           const std::vector<upstream_id>& upstreams);

    /// Ends an ejection or a drain early. The capacity counts as in service again once the times
    /// for which the entry is counted have passed; see ejection_entry::counted.
    /// @param service the service.
    /// @param upstream the upstream.
    /// @return the row in force, or an error as for propose().
    result<aged_row> release(const service_id& service, const upstream_id& upstream);

    /// Drains an upstream if the capacity floor permits it. A drain stays in force until it is
    /// released.
    /// @param capacity the live members and the floor of the service.
    /// @param upstream the upstream.
    /// @param reason the operator's reason.
    /// @return the row in force, or an error as for propose().
    result<aged_row> drain(const service_capacity& capacity, const upstream_id& upstream,
                           const std::string& reason);

    /// Reads the row from the store.
    /// @param service the service.
    /// @return the row in force, `store_unavailable`, or `internal` when the row is unreadable.
    result<aged_row> refresh(const service_id& service);

    /// @return the number of write calls made to the store.
    std::uint64_t writes() const { return m_writes; }

private:
    /// Times of a grant on the clock of this daemon.
    struct known_grant {
        steady_time valid_until;   ///< End of validity; not in the future when the age is unknown.
        steady_time counted_until; ///< The floor counts the upstream as removed until then.
    };
    struct known_row {
        ejection_row row;
        std::string tag; ///< Empty when the row does not exist.
        std::map<std::string, known_grant> grants;
    };
    /// Edits a row and sets the grant id of new and renewed entries to write_id. Returns whether
    /// the row has to be written, or an error that ends the attempt.
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
    aged_row make_aged_row(const known_row& known) const;
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
