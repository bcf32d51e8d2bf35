#pragma once

#include "base/clock.h"
#include "fleet/store_era.h"

#include <optional>

namespace galenaroad {

/// What a response of the store says about its era.
enum class era_verdict {
    current,  ///< The response belongs to the era that is known, or names none.
    advanced, ///< The store has come back from a copy since the response before.
    outdated, ///< The response belongs to an earlier era and must not be used.
};

/// Decides to which era of the store a daemon belongs. Each response of the store passes through
/// it; responses may arrive out of order, since they come on several connections.
///
/// A lower era is taken for an old response that arrives late. If the store names only lower eras
/// for a while, its era has been reset, and it is followed.
class store_era_tracker {
public:
    /// @param time the clock; must outlive the tracker.
    explicit store_era_tracker(const clock& time) : m_clock(time) {}

    /// Handles a response of the store.
    /// @param era the era that it names; unknown when it names none, or one that is unreadable.
    /// @return what it says.
    era_verdict on_response(store_era era);

    /// @return the era of the store; unknown while it has named none.
    store_era current() const { return m_current; }

private:
    bool has_been_reset();

    const clock& m_clock;
    store_era m_current;
    bool m_has_response = false;
    /// When the first response of a lower era came, since the latest of the current one.
    std::optional<steady_time> m_lower_since;
    int m_lower_responses = 0; ///< Since then.
};

} // namespace galenaroad
