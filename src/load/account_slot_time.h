#pragma once

#include "base/clock.h"

#include <cstddef>
#include <string>
#include <unordered_map>

namespace galenaroad {

/// Slot time that client accounts have lately used at one upstream, with exponential decay.
///
/// The number of accounts is bounded: the account that used least is forgotten first, which makes
/// it an account below its share.
class account_slot_time {
public:
    /// Maximum number of accounts known.
    static constexpr std::size_t max_accounts = 256;
    /// An account is above its share when it uses more than this multiple of the average of all
    /// known accounts. Accounts differ in size and one owner sees few requests of each, so that
    /// half of them are above the average at any time.
    static constexpr double tolerated_multiple = 2.0;

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
    std::size_t size() const { return m_seconds.size(); }

private:
    void forget_least();

    std::unordered_map<std::string, double> m_seconds; ///< By account.
    double m_total_seconds = 0;
    steady_time m_advanced_at;
};

} // namespace galenaroad
