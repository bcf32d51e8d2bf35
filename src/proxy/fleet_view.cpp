#include "proxy/fleet_view.h"

namespace galenaroad {

std::uint64_t fleet_view::contract_version(const std::string& business) const
{
    if (!contracts) {
        return 0;
    }
    const auto found = contracts->contracts.find(business);
    return found == contracts->contracts.end() ? 0 : found->second->version;
}

} // namespace galenaroad
