#pragma once

#include "membership/member_record.h"

#include <string_view>
#include <vector>

namespace galenaroad {

/// Immutable snapshot of all members that are not dead, including the daemon's own. Traffic threads
/// share it. Members that are `leaving` stay listed, since attempts in flight on them may have to
/// be fenced, but receive no new work.
class membership_view {
public:
    /// @param members the members, in the order of their names.
    /// @param number rises by one with each snapshot of the same daemon.
    membership_view(std::vector<member> members, std::uint64_t number);

    /// @return all members in the order of their names.
    const std::vector<member>& members() const { return m_members; }

    /// @return the number of this snapshot.
    std::uint64_t number() const { return m_number; }

    /// Finds a member by its instance name.
    /// @param name the name.
    /// @return the member, or null.
    const member* find(std::string_view name) const;

    /// @param known a member.
    /// @return whether peers may send it new work.
    static bool accepts_work(const member& known);

private:
    std::vector<member> m_members;
    std::uint64_t m_number;
};

} // namespace galenaroad
