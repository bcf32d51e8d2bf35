#pragma once

#include "accounts/holder_members.h"
#include "accounts/quota_message.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace galenaroad {

/// What this daemon may grant of an account. The daemon that ranks first is the holder. The next
/// one takes its place only while it is certain that no process of the first one runs: its silence
/// may be that of the network, with other daemons still in touch with it. A daemon that joins holds
/// nothing until those that may have held its accounts have confirmed that they no longer do.
class holder_authority {
public:
    /// After a daemon has started, it is not a holder for this time: until then the daemon that
    /// took its place may not know it.
    static constexpr std::chrono::milliseconds start_time{1000};
    /// For how long it is assumed that a daemon does not run which did not run a moment ago.
    /// Shorter than start_time by the time in which daemons learn of each other.
    static constexpr std::chrono::milliseconds absence_time{700};
    /// For how long a daemon that has started waits for confirmations. All daemons know of it by
    /// then, through the store if not otherwise, and have ceased to hold its accounts.
    static constexpr std::chrono::milliseconds join_time{3000};

    /// The right to grant tokens of an account.
    struct right {
        quota_authority kind = quota_authority::none;
        /// Since when no other daemon has been the holder, or since when this daemon has been a
        /// member if it is a deputy.
        steady_time since;
    };

    /// Called with other daemons about which this one needs to know more.
    struct inquiries {
        /// Finds out whether a daemon that ranks before this one runs.
        std::function<void(const std::string& address)> absence;
        /// Asks a daemon that ranks after this one for its handover.
        std::function<void(const std::string& address)> handover;
    };

    /// @param members the daemons; must outlive this object.
    /// @param own_address address of this daemon.
    holder_authority(holder_members& members, std::string own_address);

    /// Records that no process of a daemon runs, as the refusal of a connection shows.
    /// @param address address of the daemon.
    /// @param asked_at when the connection was begun.
    void record_absence(const std::string& address, steady_time asked_at);

    /// Records that a message of another daemon has arrived. A daemon that is cut off may find that
    /// all others refuse its connections, so it takes no place without such a message.
    void record_contact(steady_time now) { m_contact_at = now; }

    /// Records how a daemon has responded to the question for its handover.
    /// @param address address of the daemon.
    /// @param state its response.
    void record_handover(const std::string& address, handover_state state, steady_time now);

    /// Ceases to hold the accounts for which a daemon that has joined ranks before this one.
    /// @param address address of that daemon, which has asked for it.
    /// @return whether this daemon has ceased.
    handover_state hand_over_to(const std::string& address, steady_time now);

    /// @param account an account.
    /// @param ask called with other daemons, depending on their ranks.
    /// @return what this daemon may grant of the account.
    right of(const std::string& account, steady_time now, const inquiries& ask) const;

private:
    /// A time in which a daemon did not run.
    struct absence {
        steady_time since;
        steady_time latest;
    };

    /// The confirmation of a daemon that it holds no account for which this one ranks before it.
    struct handover {
        bool has_held = false; ///< Otherwise a daemon that ranks after it may hold the account.
        steady_time at;
    };

    /// @return the absence of a daemon, or null if it may run.
    const absence* latest_absence(const std::string& address, steady_time now) const;
    bool has_joined_lately(const std::string& address, steady_time now) const;
    bool awaits_handover(const std::vector<std::string>& later, right& result, steady_time now,
                         const inquiries& ask) const;

    holder_members& m_members;
    std::string m_own_address;
    std::map<std::string, absence> m_absences;
    std::map<std::string, handover> m_handovers;         ///< To this daemon; by address.
    std::map<std::string, steady_time> m_handed_over_at; ///< By this daemon; by address.
    steady_time m_contact_at;
};

} // namespace galenaroad
