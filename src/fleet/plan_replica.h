#pragma once

#include "fleet/plan_change.h"
#include "fleet/plan_index.h"
#include "fleet/staged_plan.h"

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <vector>

namespace galenaroad {

/// The plan in force at a daemon, and a log of what has changed in it, from which peers with an
/// earlier version get only the difference.
class plan_replica {
public:
    /// @return the plan in force; null before the first one.
    const std::shared_ptr<const plan_index>& in_force() const { return m_plan; }

    /// @return the version of the plan in force; 0 without one.
    std::uint64_t version() const { return m_plan ? m_plan->version() : 0; }

    /// Puts a plan of the operators in force.
    /// @param plan a newer version.
    void replace(const routing_plan& plan);

    /// Puts the version that results from a change in force.
    /// @param change the change.
    /// @return false when the change is not for the plan in force, is not newer, or results in
    /// other contents than those of its sender; nothing has changed then.
    bool apply(const plan_change& change);

    /// Puts a plan in force that was made from the pages of a change.
    /// @param staged the plan with all pages.
    /// @return as for a change.
    bool apply(const staged_plan& staged);

    /// @return true when the log reaches back to an earlier version.
    bool knows_changes_since(std::uint64_t earlier) const
    {
        return earlier > 0 && m_plan && earlier >= m_log_start;
    }

    /// Lists what may differ from an earlier version.
    /// @param earlier the earlier version.
    /// @return the names in order, without repetition; nothing when the log does not reach back to
    /// that version.
    std::optional<std::vector<plan_part>> parts_changed_since(std::uint64_t earlier) const;

private:
    struct log_entry {
        std::uint64_t version; ///< In which the part may have changed.
        plan_part part;
    };

    bool can_apply(std::uint64_t base_version, std::uint64_t next_version) const;
    void put_in_force(plan_index next, bool is_whole, const std::vector<plan_part>& parts);
    void trim_log();

    std::shared_ptr<const plan_index> m_plan;
    std::deque<log_entry> m_log;
    std::uint64_t m_log_start = 0; ///< The log holds all changes after this version.
};

} // namespace galenaroad
