#pragma once

#include "base/clock.h"
#include "base/random_engine.h"
#include "membership/gossip_message.h"

#include <functional>
#include <string_view>
#include <vector>

namespace galenaroad {

/// Effect of a merge on an entry.
enum class merge_result {
    unchanged,
    incomplete, ///< Unknown member, or content that this daemon has not received.
    added,
    changed, ///< The content or version is newer.
    revived, ///< The member was dead and is alive again.
    suspected,
    died,
};

/// A member as this daemon knows it.
struct member_entry {
    std::shared_ptr<const member_record> record; ///< Null in a free slot.
    std::uint64_t version = 0;
    steady_time since; ///< Time of the last change of `observed_state`.
    instance_state observed_state = instance_state::alive; ///< `alive`, `suspect` or `dead`.
    bool leaving = false;                                  ///< Announced by the member itself.

    /// @return the member's state in a snapshot.
    instance_state state() const;
};

/// All members except this daemon, with the merge rules for their updates: a higher (incarnation,
/// version) wins, and within a version the worse state wins. An entry keeps its slot as long as it
/// exists.
class member_table {
public:
    using slot = std::uint32_t;
    static constexpr slot no_slot = ~slot{0};

    /// Merges a record with content.
    /// @param update the record; its state is `alive` or `leaving`.
    /// @param now the time.
    merge_result merge(const member& update, steady_time now);

    /// Merges a change of state. A `dead` from another daemon makes the member only suspect:
    /// otherwise, after a partition heals, each side would treat the other's members as dead until
    /// they refute it.
    /// @param change the change.
    /// @param now the time.
    merge_result merge(const state_change& change, steady_time now);

    /// Marks a member as suspect after its pings failed.
    /// @return whether it was alive before.
    bool suspect(slot at, steady_time now);

    /// Marks members as dead whose suspicion timed out, and removes members that have been dead for
    /// long.
    /// @param now the time.
    /// @param suspicion timeout of a suspicion.
    /// @param forget retention time of dead members.
    /// @return the slots of the members that were marked as dead by this call.
    std::vector<slot> expire(steady_time now, std::chrono::nanoseconds suspicion,
                             std::chrono::nanoseconds forget);

    /// Moves the start of all suspicions forward after this daemon itself was paused, so that the
    /// pause does not count towards the suspicion timeout.
    /// @param pause the length of the pause.
    void compensate_for_pause(std::chrono::nanoseconds pause);

    /// @param name an instance name.
    /// @return its slot, or no_slot.
    slot find(std::string_view name) const;

    /// @param at a slot.
    const member_entry& operator[](slot at) const { return m_entries[at]; }

    /// @return the number of slots, free ones included.
    slot slots() const { return static_cast<slot>(m_entries.size()); }

    /// @return the number of members that are not dead.
    std::size_t live() const { return m_live; }

    /// Chooses a random member that satisfies a predicate.
    /// @return its slot, or no_slot when no member does.
    slot random(random_engine& engine,
                const std::function<bool(const member_entry&)>& accepts) const;

    /// Calls for each entry, dead ones included, in the order of names.
    template <typename Visitor>
    void for_each(Visitor visit) const
    {
        for (const auto at : m_by_name) {
            visit(at, m_entries[at]);
        }
    }

private:
    std::vector<slot>::const_iterator position(std::string_view name) const;
    void insert(const member& update, steady_time now);
    merge_result raise_version(member_entry& entry, std::uint64_t version, bool leaving,
                               steady_time now);
    void set_observed_state(member_entry& entry, instance_state observed_state, steady_time now);
    void remove(slot at);

    std::vector<member_entry> m_entries;
    std::vector<slot> m_by_name;
    std::vector<slot> m_free;
    std::vector<slot> m_suspects;
    std::size_t m_live = 0;
    steady_time m_next_forget;
};

} // namespace galenaroad
