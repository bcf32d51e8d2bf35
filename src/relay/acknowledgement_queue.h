#pragma once

#include "net/event_loop.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <vector>

namespace galenaroad {

/// Announced departures whose acknowledgements wait until the records that say so are stored.
///
/// After a fixed time a record that a peer holds is enough, so that a store that does not respond
/// does not block upstreams that leave. A departure that only this process knows is not
/// acknowledged: it would be forgotten with the process.
class acknowledgement_queue {
public:
    /// @param loop runs the timers; must outlive the queue.
    explicit acknowledgement_queue(event_loop& loop) : m_loop(loop) {}

    acknowledgement_queue(const acknowledgement_queue&) = delete;
    acknowledgement_queue& operator=(const acknowledgement_queue&) = delete;
    acknowledgement_queue(acknowledgement_queue&&) = delete;
    acknowledgement_queue& operator=(acknowledgement_queue&&) = delete;
    ~acknowledgement_queue();

    /// Adds an acknowledgement.
    /// @param revision of the record that it waits for.
    /// @param acknowledge called when a record of this revision or a later one is stored, or when
    /// the time is over and a peer has it.
    void add(std::uint64_t revision, std::function<void()> acknowledge);

    /// Makes acknowledgements that wait for later records wait for this one, which says the same.
    /// @param revision of the record.
    void lower_revisions(std::uint64_t revision);

    /// Calls all acknowledgements that wait for a record up to this one.
    /// @param revision of the latest stored record.
    void on_stored(std::uint64_t revision);

    /// Called when a peer has a record.
    /// @param revision of the record.
    void on_replicated(std::uint64_t revision);

    /// @param revision of a record.
    /// @return true if the store or a peer has the record or a later one.
    bool is_confirmed(std::uint64_t revision) const
    {
        return revision <= std::max(m_stored_revision, m_replicated_revision);
    }

private:
    struct pending_acknowledgement {
        std::uint64_t id;
        std::uint64_t revision;
        std::function<void()> acknowledge;
        event_loop::timer_id timer;
        bool is_overdue = false; ///< A record that a peer has is enough.
    };

    template <typename Predicate>
    void acknowledge_if(Predicate is_due);
    void acknowledge_due();

    event_loop& m_loop;
    std::vector<pending_acknowledgement> m_pending;
    std::uint64_t m_latest_id = 0;
    std::uint64_t m_stored_revision = 0;
    std::uint64_t m_replicated_revision = 0;
};

} // namespace galenaroad
