#pragma once

#include "accounts/holder_members.h"
#include "accounts/quota_message.h"

#include <functional>
#include <map>
#include <string>

namespace galenaroad {

/// What this daemon may grant of an account. The daemon that ranks first is the holder. The next
/// one takes its place only while it is certain that no process of the first one runs: its silence
/// may be that of the network, with other daemons still in touch with it.
class holder_authority {
public:
    /// After a daemon has started, it is not a holder for this time: until then the daemon that
    /// took its place may not know it.
    static constexpr std::chrono::milliseconds start_time{1000};
    /// For how long it is assumed that a daemon does not run which did not run a moment ago.
    /// Shorter than start_time by the time in which daemons learn of each other.
    static constexpr std::chrono::milliseconds absence_time{700};

    /// The right to grant tokens of an account.
    struct right {
        quota_authority kind = quota_authority::none;
        /// Since when no other daemon has been the holder, or since when this daemon has been a
        /// member if it is a deputy.
        steady_time since;
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

    /// @param account an account.
    /// @param find_out_absence called with each daemon that ranks before this one.
    /// @return what this daemon may grant of the account.
    right of(const std::string& account, steady_time now,
             const std::function<void(const std::string&)>& find_out_absence) const;

private:
    /// A time in which a daemon did not run.
    struct absence {
        steady_time since;
        steady_time latest;
    };

    holder_members& m_members;
    std::string m_own_address;
    std::map<std::string, absence> m_absences;
    steady_time m_contact_at;
};

} // namespace galenaroad
