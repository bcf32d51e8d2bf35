#include "membership/member_record.h"

namespace galenaroad {

instance to_instance(const member& known)
{
    const auto& record = *known.record;
    instance result;
    result.name = record.name;
    result.peer_address = record.peer_address;
    result.location = *record.location;
    result.incarnation = record.incarnation;
    result.version = known.version;
    result.state = known.state;
    result.upstreams.reserve(record.upstreams.size());
    for (const auto& each : record.upstreams) {
        result.upstreams.push_back(
            {{record.name, each.name}, *each.service, each.slots, each.connections, each.state});
    }
    return result;
}

} // namespace galenaroad
