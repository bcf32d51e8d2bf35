#pragma once

#include "base/result.h"
#include "model/upstream.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace galenaroad {

/// Why an upstream is removed from service.
enum class removal_kind {
    ejected,  ///< Unhealthy. The entry expires unless the evaluator renews it.
    drained,  ///< By an operator. The entry stays until it is released.
    released, ///< Returned to service early. It still counts against the floor until the grant has
              ///< expired at daemons that have not received the release.
};

/// Entry of a service's row: an upstream that is removed from service.
struct ejection_entry {
    upstream_id upstream;
    std::uint64_t incarnation =
        0; ///< Of the owner; the entry does not apply to a restarted daemon.
    int slots = 0;
    removal_kind kind = removal_kind::ejected;
    std::string reason;
    std::string grant_id; ///< Id of the write that granted or renewed the entry.
    /// Time for which daemons still apply the entry, from when the row was written. Zero when the
    /// row's writer does not know the age of the grant.
    std::chrono::milliseconds remaining{0};
    /// Time for which writers count the upstream as removed, from when the row was written.
    std::chrono::milliseconds counted{0};
};

/// A live upstream that provides capacity, according to this daemon's membership view.
struct capacity_member {
    upstream_id upstream;
    std::uint64_t incarnation = 0;
    int slots = 0;
};

/// Live and announced upstreams of a service, with its capacity floor.
struct service_capacity {
    service_id service;
    int floor_slots = 0; ///< Slots that must stay in service.
    std::vector<capacity_member> members;

    /// @param upstream the upstream.
    /// @return the member, or null.
    const capacity_member* find(const upstream_id& upstream) const;
};

/// Row `ejections/<business>/<service>` of the table service, with the check of the capacity floor.
class ejection_row {
public:
    /// Validity of an ejection from its grant or renewal.
    static constexpr std::chrono::milliseconds validity{30'000};
    /// Time after expiry for which a writer assumes that other daemons still apply an entry.
    static constexpr std::chrono::milliseconds grace_period{5'000};

    service_id service;
    std::uint64_t sequence = 0; ///< Number of writes of the row; a higher one is newer.
    std::string write_id;       ///< Id of the latest write, by which its writer recognises it.
    std::vector<ejection_entry> entries;

    /// Reads the row's JSON text.
    /// @param text the text.
    /// @return the row, or `internal` for text that is not a row.
    static result<ejection_row> parse(const std::string& text);

    /// @return the row's JSON text.
    std::string text() const;

    /// @param service the service.
    /// @return the key of the service's row.
    static std::string key(const service_id& service);

    /// @param upstream the upstream.
    /// @return its entry, or null.
    ejection_entry* find(const upstream_id& upstream);
    /// @copydoc find
    const ejection_entry* find(const upstream_id& upstream) const;

    /// Sums up the capacity that the row leaves in service. Released entries count as removed, too.
    /// @param capacity the live members.
    /// @return the slots of the live members without an entry. An entry for an earlier incarnation
    ///         counts as well, since some daemons may not know of the restart yet.
    int slots_in_service(const service_capacity& capacity) const;

    /// Returns whether one more upstream may be removed from service.
    /// @param capacity the live members and the floor.
    /// @param candidate the upstream.
    /// @return whether the remaining slots reach the floor without the candidate.
    bool may_remove(const service_capacity& capacity, const upstream_id& candidate) const;
};

} // namespace galenaroad
