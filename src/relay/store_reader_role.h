#pragma once

#include "base/clock.h"

#include <chrono>
#include <cstddef>

namespace galenaroad {

/// What a daemon knows of the peers that could read the store for it: those of its data centre that
/// come before it in the store_reader_order.
struct preceding_daemons {
    std::size_t total = 0;      ///< How many daemons come before this one.
    std::size_t fresh = 0;      ///< Those of them that have just said that the store answers them.
    std::size_t reachable = 0;  ///< Those of them that answer at all, or have just been asked.
    std::size_t lost_store = 0; ///< Those of them that the store has ceased to answer.
};

/// Decides whether this daemon reads the store, or learns from peers that do.
///
/// Answers the load where hundreds of daemons would each read every change of the store, whose
/// calls are limited and have a price. A daemon reads unless enough daemons before it do, so that
/// the first ones of each data centre read, and the next ones take over when they fail. Daemons
/// further back wait longer before they take over, so that a failure is not answered by all.
class store_reader_role {
public:
    /// Daemons that read the store in each data centre, so that one of them may fail or fall behind
    /// unnoticed.
    static constexpr std::size_t readers_per_data_centre = 2;

    /// @param time the clock; must outlive the role.
    explicit store_reader_role(const clock& time);

    /// Decides anew.
    /// @param view what is known of the daemons before this one.
    /// @return true when this daemon is to read the store.
    bool update(const preceding_daemons& preceding);

    /// @return true when the last decision was to read the store.
    bool is_reader() const { return m_is_reader; }

    /// @return true when the daemon is to notice within about a second that the store does not
    /// answer it: no daemon before it does so, or one of them has ceased to.
    bool polls_frequently() const { return m_is_reader && m_may_be_first; }

private:
    static std::chrono::milliseconds takeover_delay(const preceding_daemons& preceding);

    const clock& m_clock;
    bool m_is_reader = false;
    bool m_may_be_first = false;  ///< Among the daemons that the store answers.
    bool m_lacks_readers = false; ///< Too few daemons before this one are fresh.
    steady_time m_lacking_since;  ///< Valid while it is short.
    steady_time
        m_last_needed_at; ///< When the daemons before this one were last short for too long.
};

} // namespace galenaroad
