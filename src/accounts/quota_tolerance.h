#pragma once

#include "fleet/client_account.h"

#include <chrono>

namespace galenaroad {

/// By how much the requests of an account may exceed its quota. In any window, at most
/// (rate * window + burst) * (1 + over) + slack of them run, on all daemons together.
struct quota_tolerance {
    std::chrono::milliseconds window{5000};
    double over = 0.1;
    double slack = 0; ///< Requests.
};

/// Shares of the tolerance. Together they do not exceed it.
class quota_shares {
public:
    /// Daemons that may grant tokens of an account besides its holder.
    static constexpr int deputies = 3;

    /// @return time after which a token is no longer used. It delays grants, so that a window may
    /// contain those of `over` / 2 times its length besides its own.
    static std::chrono::milliseconds max_token_age(const quota_tolerance& tolerance);

    /// @param quota the quota of an account.
    /// @return what one deputy may grant: a part of the remaining tolerance.
    static account_quota of_deputy(const quota_tolerance& tolerance, const account_quota& quota);
};

} // namespace galenaroad
