#pragma once

#include "base/clock.h"

#include <cstddef>
#include <string>
#include <unordered_map>

namespace galenaroad {

/// Slot time that client accounts use at one upstream: lately, and usually.
///
/// An account is above its share when it has lately used more than the other accounts on average
/// and more than is usual for it. Accounts differ in size: compared with the average alone, the
/// largest would give way in every shortage, whoever caused it.
///
/// The number of accounts is bounded: the account that used least is forgotten first, which makes
/// it an account below its share.
class account_slot_time {
public:
    /// Maximum number of accounts known.
    static constexpr std::size_t max_accounts = 256;
    /// An account is above its share when it has lately used more than this multiple of the average
    /// of all known accounts. One owner sees few requests of each, so that half of them are above
    /// the average at any time.
    static constexpr double average_multiple = 2.0;
    /// It must also have used more than this multiple of its usual part of all slot time.
    static constexpr double usual_multiple = 1.5;

    /// Applies the decay.
    /// @param now the current time; must not decrease.
    void advance(steady_time now);

    /// Records slot time.
    /// @param account name of the account; nothing is recorded for an empty name.
    /// @param slot_time the slot time.
    void record(const std::string& account, std::chrono::duration<double> slot_time);

    /// @param account name of the account; a request without account has an empty name.
    /// @return true if the account uses more than its share; false for an empty name.
    bool is_above_share(const std::string& account) const;

    /// @return number of known accounts.
    std::size_t size() const { return m_used.size(); }

private:
    /// Slot time in seconds, with exponential decay.
    struct usage {
        double lately = 0;
        double usually = 0;
    };

    void forget_least();

    std::unordered_map<std::string, usage> m_used; ///< By account.
    usage m_total;
    steady_time m_advanced_at;
};

} // namespace galenaroad
