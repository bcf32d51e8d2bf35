#pragma once

#include "base/clock.h"
#include "load/owner_ranking.h"

#include <map>
#include <string>
#include <vector>

namespace galenaroad {

/// Health that an owner has reported, as one daemon relays it to another.
struct relayed_report {
    std::string owner; ///< The owner's address.
    owner_health health;
    std::chrono::milliseconds age{0}; ///< Time since the owner reported it.
};

/// Decides which health reports a daemon relays to the daemons of its data centre.
///
/// A daemon that makes few requests learns little about each owner by itself. Daemons that share
/// their reports avoid a failing or full upstream that another one has just met. Each report is
/// sent several times, since a message may be lost and reaches only a few daemons.
class health_report_buffer {
public:
    /// Maximum number of reports in one message, which then fits into one packet.
    static constexpr std::size_t max_reports = 24;

    /// Records the health of an owner.
    /// @param owner the owner's address.
    /// @param health the reported health.
    /// @param reported_at when the owner reported it.
    /// @return false when it is not newer than the recorded report.
    bool record_health(const std::string& owner, const owner_health& health,
                       steady_time reported_at);

    /// Returns the reports to send next, the newest first, and counts them as sent.
    /// @param now the current time.
    /// @return at most max_reports; empty when there is nothing to send.
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
