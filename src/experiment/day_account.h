#pragma once

#include <array>
#include <chrono>
#include <map>
#include <string>
#include <string_view>

namespace galenaroad {

/// Why a request was not served.
enum class unserved_cause {
    no_slot,        ///< All owners that were asked were full.
    waited_in_vain, ///< It waited for a slot until it was too late.
    doubt,          ///< The upstreams most likely fail.
    retry_budget,   ///< A further attempt was not allowed.
    leaving,        ///< The owners that were asked stop, or their upstreams leave.
    unreachable,    ///< The last owner or its upstream accepted no connection.
    no_owner,       ///< No owner was known or left to ask.
    no_plan,        ///< No plan, or no route in it, tells who serves it.
    failed_at_once, ///< The upstream failed long before its work could be done.
    failed_in_work, ///< The upstream failed after work, as when a call of it fails.
    answer_lost,    ///< The upstream's answer was lost or was none.
    deadline,       ///< It had begun and was not complete in time.
    client_left,
    unknown, ///< The logs do not tell.
};

/// Number of causes.
constexpr std::size_t unserved_causes = static_cast<std::size_t>(unserved_cause::unknown) + 1;

/// @return the name of a cause, as in reports.
std::string_view cause_name(unserved_cause cause);

/// What became of the requests of one service, or of one second.
struct account_row {
    long asked = 0;
    long served = 0;
    std::array<long, unserved_causes> unserved{}; ///< By cause.
};

/// Gives each request that a fleet did not serve one cause, from the decision logs of its daemons.
class day_account {
public:
    /// Takes a line of a log. Text before the JSON object is skipped; other lines are ignored.
    /// @param line the line.
    /// @return false when it is no line of a decision log.
    bool add_line(std::string_view line);

    /// @return the requests by service; those without a service under an empty name.
    std::map<std::string, account_row> by_service() const;

    /// @return the requests by the second of the Unix time in which they ended.
    std::map<std::string, account_row> by_second() const;

    /// @return messages between daemons that refused a request, by reason.
    const std::map<std::string, long>& refusals() const { return m_refusals; }

private:
    /// The end of a request at its entry.
    struct entry_line {
        std::string service;
        std::string second;
        int status = 0;
        std::string reason;
        std::string last_refusal;
    };

    /// The latest run of a request at an upstream.
    struct run_line {
        std::string result;
        std::string fault;
        std::chrono::milliseconds served{0};
        std::chrono::milliseconds expected{0};
    };

    template <typename Key>
    std::map<std::string, account_row> rows(Key key) const;
    unserved_cause cause_of(const std::string& request_id, const entry_line& entry) const;
    static unserved_cause cause_of_refusal(const entry_line& entry);

    std::map<std::string, entry_line> m_entries; ///< By request.
    std::map<std::string, run_line> m_runs;      ///< By request.
    std::map<std::string, long> m_refusals;
};

} // namespace galenaroad
