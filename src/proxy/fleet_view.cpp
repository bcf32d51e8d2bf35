#include "proxy/fleet_view.h"

#include <algorithm>

namespace galenaroad {

std::uint64_t fleet_view::contract_version(const std::string& business) const
{
    const auto found = std::find_if(contracts.begin(), contracts.end(),
                                    [&](const auto& held) { return held->business == business; });
    return found == contracts.end() ? 0 : (*found)->version;
}

} // namespace galenaroad
