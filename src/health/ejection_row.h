#pragma once

#include "base/result.h"
#include "model/upstream.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace galenaroad {

/// Why an upstream is out of service.
enum class removal_kind {
    ejected,  ///< Unhealthy. The entry expires unless it is renewed.
    drained,  ///< By an operator. The entry stays until it is released.
    released, ///< Returned early. No longer honoured, but counted until daemons that missed the
              ///< release no longer honour the grant either.
};

/// Entry of a service's row: an upstream that is out of service.
struct ejection_entry {
    upstream_id upstream;
    std::uint64_t incarnation = 0; ///< Of the owner's daemon; a restarted one is not concerned.
    int slots = 0;
    removal_kind kind = removal_kind::ejected;
    std::string reason;
    std::string grant_id; ///< Identity of the write that granted or renewed it.
    /// Validity left when the row was written, for daemons that honour the entry. Zero when the
    /// row's writer does not know the age of the grant.
    std::chrono::milliseconds remaining{0};
    /// Time for which writers count the entry as effective, from when the row was written.
    std::chrono::milliseconds counted{0};
};

/// An upstream that could serve, as the proposing daemon's membership knows it.
struct capacity_member {
    upstream_id upstream;
    std::uint64_t incarnation = 0;
    int slots = 0;
};

/// Alive and announced upstreams of a service with its floor.
struct service_capacity {
    service_id service;
    int floor_slots = 0;
    std::vector<capacity_member> members;

    /// @param upstream the upstream.
    /// @return the member, or null.
    const capacity_member* find(const upstream_id& upstream) const;
};

/// Row `ejections/<business>/<service>` with its floor arithmetic.
class ejection_row {
public:
    /// Validity of an ejection from its grant or renewal.
    static constexpr std::chrono::milliseconds validity{30'000};
    /// Time for which a writer counts an expired entry as still effective at other daemons.
    static constexpr std::chrono::milliseconds grace_period{5'000};

    service_id service;
    std::uint64_t sequence = 0; ///< Number of the row's write; the higher one is the newer one.
    std::string write_id;       ///< Identity of the write, by which its writer recognises it.
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

    /// Sums up the capacity that the row leaves in service. All entries count, released ones too.
    /// @param capacity the live members.
    /// @return the slots of the live members without an entry. An entry for an earlier incarnation
    ///         counts as well, since some daemons may not know of the restart yet.
    int slots_in_service(const service_capacity& capacity) const;

    /// Tells whether one more upstream may be taken out of service.
    /// @param capacity the live members and the floor.
    /// @param candidate the upstream.
    /// @return whether the floor holds without the candidate.
    bool allows(const service_capacity& capacity, const upstream_id& candidate) const;
};

} // namespace galenaroad
