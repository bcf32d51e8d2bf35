#pragma once

#include "experiment/fleet_history.h"

#include <mutex>

namespace galenaroad {

/// Collects the events of a history from several threads.
class history_recorder {
public:
    /// @return the time since the recorder was made.
    history_time now() const
    {
        return std::chrono::duration_cast<history_time>(std::chrono::steady_clock::now() - m_start);
    }

    /// Changes the history while no other thread does.
    /// @param change receives the history.
    template <typename Change>
    void record(const Change& change)
    {
        const std::lock_guard lock(m_mutex);
        change(m_history);
    }

    /// @return the history; only once no thread records any more.
    const fleet_history& history() const { return m_history; }

private:
    std::chrono::steady_clock::time_point m_start = std::chrono::steady_clock::now();
    std::mutex m_mutex;
    fleet_history m_history;
};

} // namespace galenaroad
