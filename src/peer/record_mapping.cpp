#include "peer/record_mapping.h"

#include <algorithm>

namespace galenaroad {

namespace {

upstream to_upstream(const std::string& owner, const peer::UpstreamRecord& from)
{
    upstream made;
    made.id = {owner, from.name()};
    made.service = {from.business(), from.service()};
    made.slots = static_cast<int>(from.slots());
    made.connections = static_cast<int>(from.connections());
    made.state = static_cast<upstream_state>(
        std::min<std::uint32_t>(from.state(), static_cast<std::uint32_t>(upstream_state::leaving)));
    return made;
}

} // namespace

peer::MemberRecord record_mapping::to_record(const instance& from)
{
    peer::MemberRecord made;
    made.set_name(from.name);
    made.set_peer_address(from.peer_address);
    made.set_region(from.location.region);
    made.set_data_centre(from.location.name);
    made.set_incarnation(from.incarnation);
    made.set_version(from.version);
    made.set_state(static_cast<std::uint32_t>(from.state));
    for (const auto& each : from.upstreams) {
        auto& added = *made.add_upstreams();
        added.set_name(each.id.name);
        added.set_business(each.service.business);
        added.set_service(each.service.service);
        added.set_slots(static_cast<std::uint32_t>(each.slots));
        added.set_connections(static_cast<std::uint32_t>(each.connections));
        added.set_state(static_cast<std::uint32_t>(each.state));
    }
    return made;
}

instance record_mapping::to_instance(const peer::MemberRecord& from)
{
    instance made;
    made.name = from.name();
    made.peer_address = from.peer_address();
    made.location = {from.region(), from.data_centre()};
    made.incarnation = from.incarnation();
    made.version = from.version();
    made.state = static_cast<instance_state>(
        std::min<std::uint32_t>(from.state(), static_cast<std::uint32_t>(instance_state::dead)));
    for (const auto& each : from.upstreams()) {
        made.upstreams.push_back(to_upstream(from.name(), each));
    }
    return made;
}

} // namespace galenaroad
