#pragma once

#include "base/clock.h"
#include "fleet/client_account.h"

namespace galenaroad {

/// Tokens of an account; each admits one request. They accrue at the rate of its quota, up to its
/// burst.
class token_bucket {
public:
    /// Creates a bucket that accrues from a time on.
    /// @param since the time.
    /// @param level the tokens at that time.
    explicit token_bucket(steady_time since, double level = 0) : m_level(level), m_updated_at(since)
    {
    }

    /// Adds the tokens that have accrued.
    /// @param quota the quota in force; a change of it applies from the previous update on.
    void update(const account_quota& quota, steady_time now);

    /// Takes tokens.
    /// @param wanted number of tokens.
    /// @return number of tokens taken, at most `wanted`.
    int take(int wanted);

    /// Returns tokens that were not used. The next update limits them to the burst.
    void give_back(int tokens) { m_level += tokens; }

    /// @return the tokens at the latest update.
    double level() const { return m_level; }

    /// @return the limit on the tokens. One must fit, whatever the burst is.
    static double capacity(const account_quota& quota);

private:
    double m_level;
    steady_time m_updated_at;
};

} // namespace galenaroad
