#pragma once

#include "base/clock.h"
#include "fleet/owner_directory.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace galenaroad {

/// The daemons that may hold accounts: all that have not left. They are ranked for each account by
/// rendezvous hashing, and the first is its holder.
class holder_members {
public:
    /// Daemons that an entry asks for the tokens of an account, at most.
    static constexpr std::size_t max_rank = 6;

    struct member {
        std::uint64_t hash = 0; ///< Of the address.
        steady_time since;      ///< When it became known here.
    };

    /// Takes over the daemons of the directory.
    /// @param directory the known daemons.
    /// @param is_complete whether it includes all daemons of the fleet; otherwise nothing changes.
    void update(const owner_directory& directory, bool is_complete, steady_time now);

    /// @return the daemons to ask for tokens of an account, in the order in which they are asked.
    /// Valid until the next call.
    const std::vector<std::string>& ranked(const std::string& account);

    /// @return a daemon, or null.
    const member* find(const std::string& address) const;

    /// @return when a daemon was found to have left that would rank before another one for an
    /// account; the earliest time without one.
    /// @param address the other one.
    steady_time last_departure_before(const std::string& address, const std::string& account) const;

private:
    void add(const std::string& address, steady_time now);
    void remove(const std::string& address, steady_time now);
    std::vector<std::string> rank(const std::string& account) const;

    std::map<std::string, member> m_members;
    std::map<std::string, steady_time> m_departures;          ///< By address; the latest ones.
    std::map<std::string, std::vector<std::string>> m_ranked; ///< By account; only a cache.
    std::uint64_t m_latest_change = 0; ///< Of the directory, when it was taken over.
    std::uint64_t m_removals = 0;
};

} // namespace galenaroad
