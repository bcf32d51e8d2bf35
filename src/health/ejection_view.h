#pragma once

#include "base/clock.h"
#include "health/ejection_ledger.h"

#include <map>
#include <optional>
#include <string>

namespace galenaroad {

/// What a row means for the selection of an upstream.
enum class upstream_eligibility {
    in_service,
    least_preferred, ///< Ejected, but the service's live capacity is below its floor.
    excluded,
};

/// The ejections and drains that this daemon honours.
///
/// It holds the newest received row of each service and the time at which each entry ends. Rows
/// must be delivered within ejection_row::grace_period of being sent.
class ejection_view {
public:
    /// After a pause of this length of the control loop, messages that waited are not trusted.
    static constexpr std::chrono::milliseconds max_pause{2'000};

    /// Takes over a row that is newer than the one held.
    /// @param received the row with its age.
    /// @param now the current time.
    /// @return whether the row was taken over and should be passed on.
    bool receive(const aged_row& received, steady_time now);

    /// Notes that the control loop runs. After a pause, rows are refused for a short time, since
    /// they may have waited in a socket longer than their remaining validity allows.
    /// @param now the current time.
    void on_control_loop_run(steady_time now);

    /// Tells what to do with each member of a service.
    /// @param capacity the live members and the floor.
    /// @param now the current time.
    /// @return the standing of each member.
    std::map<upstream_id, upstream_eligibility> eligibilities(const service_capacity& capacity,
                                                              steady_time now) const;

    /// @param service the service.
    /// @return whether the row held has a drain.
    bool has_drains(const service_id& service) const;

    /// @param service the service.
    /// @param now the current time.
    /// @return the row held with its present age, to pass on to peers.
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
    static bool is_honoured(const known_row& known, const ejection_entry& entry,
                            const capacity_member& member, steady_time now);

    std::map<service_id, known_row> m_rows;
    std::optional<steady_time> m_last_loop_run;
    std::optional<steady_time> m_refuse_until;
};

} // namespace galenaroad
