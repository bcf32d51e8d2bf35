#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <vector>

namespace galenaroad {

/// Announced departures whose acknowledgements wait until the store has the records that say so.
///
/// Nothing else outlives all daemons: records that peers hold in memory are lost when their
/// processes end at the same moment. The departure takes effect before it is acknowledged.
class acknowledgement_queue {
public:
    /// Adds an acknowledgement.
    /// @param revision of the record that it waits for.
    /// @param acknowledge called when the store has a record of this revision or a later one.
    void add(std::uint64_t revision, std::function<void()> acknowledge);

    /// Makes acknowledgements that wait for later records wait for this one, which says the same.
    /// @param revision of the record.
    void lower_revisions(std::uint64_t revision);

    /// Calls all acknowledgements that wait for a record up to this one.
    /// @param revision of a record that the store has.
    void on_stored(std::uint64_t revision);

    /// @param revision of a record.
    /// @return true if the store has the record or a later one.
    bool is_stored(std::uint64_t revision) const { return revision <= m_stored_revision; }

    /// @return number of acknowledgements that wait.
    std::size_t size() const { return m_pending.size(); }

private:
    struct pending_acknowledgement {
        std::uint64_t revision;
        std::function<void()> acknowledge;
    };

    void acknowledge_stored();

    std::vector<pending_acknowledgement> m_pending;
    std::uint64_t m_stored_revision = 0;
};

} // namespace galenaroad
