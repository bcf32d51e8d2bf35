#pragma once

#include "accounts/quota_message.h"
#include "base/clock.h"
#include "fleet/owner_directory.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace galenaroad {

/// Which daemons may grant the tokens of an account. All daemons that have not left are ranked for
/// each account by rendezvous hashing, and the first is its holder. The next one takes its place
/// only while it is certain that the holder does not run: its silence may be that of the network,
/// with other daemons still in touch with it.
class holder_ranking {
public:
    /// Daemons that an entry asks for the tokens of an account, at most.
    static constexpr std::size_t max_rank = 6;
    /// After a daemon has started, it is not a holder for this time: until then the daemon that
    /// took its place may not know it.
    static constexpr std::chrono::milliseconds start_time{1000};
    /// For how long it is assumed that a daemon does not run which did not run a moment ago. Shorter
    /// than start_time by the time in which daemons learn of each other.
    static constexpr std::chrono::milliseconds absence_time{700};

    /// The right to grant tokens of an account.
    struct authority {
        quota_authority kind = quota_authority::none;
        /// Since when no other daemon has been the holder, or since when this daemon has been a
        /// candidate if it is a deputy.
        steady_time since;
    };

    /// @param own_address address of this daemon.
    explicit holder_ranking(std::string own_address);

    /// Takes over the daemons of the directory.
    /// @param directory the known daemons.
    /// @param is_complete whether it includes all daemons of the fleet.
    void update(const owner_directory& directory, bool is_complete, steady_time now);

    /// @return the daemons to ask for tokens of an account, in the order in which they are asked.
    /// Valid until the next call.
    const std::vector<std::string>& ranked(const std::string& account);

    /// Records that no process of a daemon runs, as the refusal of a connection shows.
    /// @param address address of the daemon.
    /// @param asked_at when the connection was begun.
    void record_absence(const std::string& address, steady_time asked_at);

    /// @param account an account.
    /// @param on_unknown called with each daemon that ranks before this one if it is not known that
    /// it does not run.
    /// @return what this daemon may grant of the account.
    authority own_authority(const std::string& account, steady_time now,
                            const std::function<void(const std::string&)>& on_unknown);

private:
    struct member {
        std::uint64_t hash = 0;
        bool is_candidate = false;
        steady_time since; ///< Since when it is a candidate, or not.
    };

    /// A time in which a daemon did not run.
    struct absence {
        steady_time since;
        steady_time latest;
    };

    void update_member(const std::string& address, bool is_candidate, steady_time now);
    void rank(const std::string& account, std::vector<std::string>& result) const;

    std::string m_own_address;
    std::map<std::string, member> m_members;
    std::map<std::string, absence> m_absences;
    std::map<std::string, std::vector<std::string>> m_ranked; ///< By account; only a cache.
    std::uint64_t m_digest = 0;
    std::uint64_t m_latest_change = 0;
    bool m_is_complete = false;
};

} // namespace galenaroad
