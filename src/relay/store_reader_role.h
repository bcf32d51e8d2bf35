#pragma once

#include "base/clock.h"

#include <chrono>
#include <cstddef>

namespace galenaroad {

/// What a daemon knows of the peers that could read the store for it: the daemons of its data
/// centre that precede it in the store_reader_order.
struct preceding_daemons {
    std::size_t total = 0;       ///< Number of daemons that precede this one.
    std::size_t fresh = 0;       ///< Those that reported that the store responds to them.
    std::size_t responding = 0;  ///< Those that respond, or are expected to.
    std::size_t lost_store = 0;  ///< Those to which the store has stopped responding.
    std::size_t unreachable = 0; ///< Those that are known not to respond.
};

/// Decides whether this daemon reads the store or follows peers that do.
///
/// Store calls are limited and cost money, so hundreds of daemons must not each read every change.
/// A daemon reads the store unless enough preceding daemons do: the first ones of each data centre
/// read, and the next ones take over when these fail. The take-over delay grows with the logarithm
/// of the position in the order: a failure does not make all daemons read, and in a large data
/// centre the next change of the plan is still noticed in time.
class store_reader_role {
public:
    /// Daemons that read the store in each data centre. More than one, so that one may fail or fall
    /// behind without effect.
    static constexpr std::size_t readers_per_data_centre = 2;

    /// @param time the clock; must outlive the role.
    explicit store_reader_role(const clock& time);

    /// Updates the decision.
    /// @param view what is known of the daemons before this one.
    /// @return true when this daemon should read the store.
    bool update(const preceding_daemons& preceding);

    /// Makes this daemon read the store now, since the store responds to it.
    void take_over();

    /// @return true when the latest decision is to read the store.
    bool is_reader() const { return m_is_reader; }

    /// @return true when this daemon should detect within about a second that the store does not
    /// respond: it reads the store, and no preceding daemon is fresh or one has lost the store.
    bool polls_frequently() const { return m_is_reader && m_may_be_first; }

    /// Number of steps in which delays grow with the position in a line, when as many daemons act
    /// in each step as in all steps before.
    /// @param position the position, from 0.
    /// @return 0 for 0, 1 for 1, 2 for 2 and 3, 3 for 4 to 7, and so on.
    static int doublings(int position);

private:
    static std::chrono::milliseconds takeover_delay(const preceding_daemons& preceding);
    static int position_in_line(const preceding_daemons& preceding);

    const clock& m_clock;
    bool m_is_reader = false;
    bool m_may_be_first = false;  ///< Of the daemons to which the store responds.
    bool m_lacks_readers = false; ///< Too few preceding daemons are fresh.
    steady_time m_lacking_since;  ///< Valid while m_lacks_readers is true.
    steady_time m_last_needed_at; ///< Latest time at which this daemon had to read the store.
};

} // namespace galenaroad
