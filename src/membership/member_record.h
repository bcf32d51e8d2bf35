#pragma once

#include "model/instance.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace galenaroad {

/// Compact form of an announced upstream. Records share the service's name.
struct member_upstream {
    std::string name;
    std::shared_ptr<const service_id> service;
    std::uint16_t slots = 0;
    std::uint16_t connections = 0;
    upstream_state state = upstream_state::serving;
};

/// The record that a daemon announces about itself. Immutable once published; shared between the
/// member table, snapshots and messages, because the model's `instance` takes about three times the
/// memory.
struct member_record {
    std::string name;
    std::string peer_address; ///< IP address and port of the daemon's gRPC listener.
    std::shared_ptr<const data_centre> location;
    std::uint64_t incarnation = 0;
    std::uint64_t content_version = 0; ///< Version at which this content was announced.
    std::vector<member_upstream> upstreams;
};

/// A member's record with its current version and state. The version may be higher than the
/// record's content version: leaving and refuting a suspicion raise it without resending the
/// content.
struct member {
    std::shared_ptr<const member_record> record;
    std::uint64_t version = 0;
    instance_state state = instance_state::alive;
};

/// Converts a member to the model's `instance`.
/// @param known a member.
/// @return the instance with all its upstreams.
instance to_instance(const member& known);

} // namespace galenaroad
