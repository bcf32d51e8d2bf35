#pragma once

#include "base/clock.h"

#include <map>
#include <string>
#include <vector>

namespace galenaroad {

/// A request as its client saw it.
struct soak_request {
    std::string id;
    std::string daemon; ///< Entry that received it.
    bool may_repeat = false;
    bool is_new_route = false; ///< Its route was added by `version`.
    std::uint64_t version = 0;
    steady_time sent;
    steady_time ended;
    std::chrono::milliseconds deadline{0};
    int status = 0;            ///< 0 when the connection ended without a whole answer.
    bool is_own_answer = true; ///< A success had the whole body made for this request.
    bool has_ended = false;
};

/// A run of a request at an upstream.
struct soak_run {
    std::string request;
    std::string upstream;
    std::string owner; ///< Name of the daemon beside the upstream.
    steady_time started;
    bool answered = false;   ///< The upstream sent its whole answer.
    bool succeeded = false;  ///< That answer was a success.
    steady_time answered_at; ///< When it was sent.
};

/// A time during which a part was disturbed.
struct soak_disturbance {
    /// Name of a daemon or `store`; `/upstream` after a name for the link to its upstream, and
    /// `/peers` for a cut of the link from other daemons.
    std::string part;
    steady_time from;
    steady_time until;
    bool is_planned_stop = false;
};

/// Whether a daemon's row was back a while after the store had come back from an older copy.
struct soak_row_check {
    std::string daemon;
    steady_time returned; ///< When the store came back.
    steady_time checked;
    bool is_back = false; ///< The row is there, not older than before the store went away.
};

/// What a soak run recorded, and the promises that it is judged by. Shares no code with the
/// product; bounds come from the users' pages.
class soak_history {
public:
    /// Time after its deadline in which a request must have been answered.
    static constexpr auto answer_slack = std::chrono::milliseconds(500);
    /// Time after the acknowledgement of a departure, or of a plan, in which it takes effect.
    static constexpr auto change_time = std::chrono::milliseconds(2000);
    /// Time in which an answer is fetched after its connection was lost.
    static constexpr auto fetch_time = std::chrono::milliseconds(2200);
    /// Time after the return of the store in which the rows of daemons that reach it are back.
    static constexpr auto row_time = std::chrono::milliseconds(2000);
    /// Time after a disturbance in which bounded times do not hold yet.
    static constexpr auto contact_time = std::chrono::milliseconds(3000);

    std::vector<soak_request> requests;
    std::vector<soak_run> runs;
    std::vector<soak_disturbance> disturbances;
    std::vector<soak_row_check> rows;
    std::map<std::string, steady_time> departures; ///< Acknowledged, by upstream.
    std::map<std::uint64_t, steady_time> plans;    ///< Stored, by version.

    /// @return one line for each broken promise.
    std::vector<std::string> violations() const;

private:
    using runs_by_request = std::map<std::string, std::vector<const soak_run*>>;

    void check_execution(const soak_request& request, const runs_by_request& all,
                         std::vector<std::string>& found) const;
    void check_answer(const soak_request& request, std::vector<std::string>& found) const;
    void check_plan(const soak_request& request, std::vector<std::string>& found) const;
    void check_plan_kept(const soak_request& request, std::vector<std::string>& found) const;
    void check_kept(const soak_request& request, const runs_by_request& all,
                    std::vector<std::string>& found) const;
    void check_stop(const soak_request& request, const runs_by_request& all,
                    std::vector<std::string>& found) const;
    void check_row(const soak_row_check& row, std::vector<std::string>& found) const;
    bool is_disturbed(const std::string& part, steady_time from, steady_time until) const;
};

} // namespace galenaroad
