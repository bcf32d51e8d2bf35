#include "membership/membership_view.h"

#include <algorithm>
#include <utility>

namespace galenaroad {

membership_view::membership_view(std::vector<member> members, std::uint64_t number)
    : m_members(std::move(members)), m_number(number)
{
}

const member* membership_view::find(std::string_view name) const
{
    const auto found = std::lower_bound(
        m_members.begin(), m_members.end(), name,
        [](const member& each, std::string_view key) { return each.record->name < key; });
    if (found == m_members.end() || found->record->name != name) {
        return nullptr;
    }
    return &*found;
}

bool membership_view::accepts_requests(const member& known)
{
    return known.state == instance_state::alive || known.state == instance_state::suspect;
}

} // namespace galenaroad
