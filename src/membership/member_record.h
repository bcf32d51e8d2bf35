#pragma once

#include "model/instance.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace galenaroad {

/// Announced upstream in its compact form. The service's name is shared between records.
struct member_upstream {
    std::string name;
    std::shared_ptr<const service_id> service;
    std::uint16_t slots = 0;
    std::uint16_t connections = 0;
    upstream_state state = upstream_state::serving;
};

/// What a daemon announces about itself. Immutable once published; shared between the member
/// table, snapshots and messages. The model's `instance` takes about three times the memory.
struct member_record {
    std::string name;
    std::string peer_address; ///< IP number and port of the daemon's gRPC listener.
    std::shared_ptr<const data_centre> location;
    std::uint64_t incarnation = 0;
    std::uint64_t content_version = 0; ///< Version at which this content was announced.
    std::vector<member_upstream> upstreams;
};

/// A member's record with the version and state that apply to it now. The version may be higher
/// than the record's: leaving and refuting raise it without repeating the content.
struct member {
    std::shared_ptr<const member_record> record;
    std::uint64_t version = 0;
    instance_state state = instance_state::alive;
};

/// Converts to the model's form.
/// @param known a member.
/// @return the instance with all its upstreams.
instance to_instance(const member& known);

} // namespace galenaroad
