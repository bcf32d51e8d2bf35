#pragma once

#include "generated/peer.pb.h"
#include "model/instance.h"

namespace galenaroad {

/// Converts between the model's instances and the records of the peer protocol.
class record_mapping {
public:
    /// @param from the instance.
    /// @return its record.
    static peer::MemberRecord to_record(const instance& from);

    /// @param from the record; a state out of range is read as dead.
    /// @return the instance.
    static instance to_instance(const peer::MemberRecord& from);
};

} // namespace galenaroad
