#pragma once

#include "base/clock.h"
#include "relay/owner_ranking.h"

#include <map>
#include <string>
#include <vector>

namespace galenaroad {

/// What an owner told, as one daemon passes it on to another.
struct relayed_report {
    std::string owner; ///< Its address.
    owner_health health;
    std::chrono::milliseconds age{0}; ///< Time since the owner told it.
};

/// Decides which conditions of owners a daemon tells to the daemons of its data centre.
///
/// Answers the load where each daemon makes few requests and so meets a failing or full upstream
/// that its neighbours have just met: together they learn of each owner many times as often.
/// Everything told is repeated a few times, as the messages may be lost and reach few daemons each.
class health_report_buffer {
public:
    /// Conditions in one message; it fits into one packet.
    static constexpr std::size_t max_reports = 24;

    /// Takes a condition.
    /// @param owner the owner's address.
    /// @param condition what it told.
    /// @param reported_at when it told that.
    /// @return false when it is not newer than what is known.
    bool record_health(const std::string& owner, const owner_health& health,
                       steady_time reported_at);

    /// Takes the conditions to tell next, the newest first.
    /// @param now the current time.
    /// @return at most max_reports; empty when there is nothing to tell.
    std::vector<relayed_report> take_due(steady_time now);

private:
    struct buffered_health {
        owner_health health;
        steady_time reported_at;
        int sends_left = 0;
    };

    void remove_expired(steady_time now);

    std::map<std::string, buffered_health> m_owners;
};

} // namespace galenaroad
