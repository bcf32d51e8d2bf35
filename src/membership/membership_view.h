#pragma once

#include "membership/member_record.h"

#include <string_view>
#include <vector>

namespace galenaroad {

/// Immutable snapshot of all members that are not dead, including this daemon. Request threads
/// share it. Members that are `leaving` stay listed, because attempts in flight on them may have to
/// be fenced, but they receive no new requests.
class membership_view {
public:
    /// @param members the members, sorted by name.
    /// @param number the snapshot number; increases by one with each snapshot of the same daemon.
    membership_view(std::vector<member> members, std::uint64_t number);

    /// @return all members, sorted by name.
    const std::vector<member>& members() const { return m_members; }

    /// @return the number of this snapshot.
    std::uint64_t number() const { return m_number; }

    /// Finds a member by its instance name.
    /// @param name the name.
    /// @return the member, or null.
    const member* find(std::string_view name) const;

    /// @param known a member.
    /// @return whether peers may send it new requests.
    static bool accepts_requests(const member& known);

private:
    std::vector<member> m_members;
    std::uint64_t m_number;
};

} // namespace galenaroad
