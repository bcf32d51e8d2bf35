#pragma once

#include "base/clock.h"
#include "health/ejection_ledger.h"

#include <map>
#include <optional>
#include <string>

namespace galenaroad {

/// Whether an upstream may be selected, according to the ejections and drains.
enum class upstream_eligibility {
    in_service,      ///< May be selected.
    least_preferred, ///< Ejected, but selectable, as the service is below its capacity floor.
    excluded,        ///< Ejected or drained; receives no requests.
};

/// The ejections and drains that this daemon applies.
///
/// It keeps the newest received row of each service and the expiry time of each entry. Rows must be
/// delivered within ejection_row::grace_period of being sent, because writers assume that no daemon
/// applies an entry for longer than that after its expiry.
class ejection_view {
public:
    /// After a longer pause of the control loop, rows received just afterwards are refused.
    static constexpr std::chrono::milliseconds max_pause{2'000};

    /// Processes a received row. Rows older than the known one are ignored.
    /// @param received the row with its age.
    /// @param now the current time.
    /// @return whether the row is newer than the known one and should be passed on to peers.
    bool receive(const aged_row& received, steady_time now);

    /// Must be called in each iteration of the control loop. After a pause, rows are refused for a
    /// short time, since they may have waited in the socket for longer than their validity.
    /// @param now the current time.
    void on_control_loop_run(steady_time now);

    /// Determines which members of a service may be selected.
    /// @param capacity the live members and the floor.
    /// @param now the current time.
    /// @return the eligibility of each member.
    std::map<upstream_id, upstream_eligibility> eligibilities(const service_capacity& capacity,
                                                              steady_time now) const;

    /// @param service the service.
    /// @return whether the known row of the service has a drain.
    bool has_drains(const service_id& service) const;

    /// @param service the service.
    /// @param now the current time.
    /// @return the known row with its times as of now, to pass on to peers; empty without a row.
    std::optional<aged_row> current_row(const service_id& service, steady_time now) const;

private:
    struct known_grant {
        std::string grant_id;
        bool end_is_known = false;
        steady_time end;
    };
    struct known_row {
        ejection_row row;
        std::map<upstream_id, known_grant> grants;
    };

    static known_grant grant_for(const known_row& known, const ejection_entry& entry,
                                 std::chrono::milliseconds age, steady_time now);
    static bool is_in_force(const known_row& known, const ejection_entry& entry,
                            const capacity_member& member, steady_time now);

    std::map<service_id, known_row> m_rows;
    std::optional<steady_time> m_last_loop_run;
    std::optional<steady_time> m_refuse_until;
};

} // namespace galenaroad
