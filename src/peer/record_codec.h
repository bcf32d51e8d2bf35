#pragma once

#include "membership/gossip_message.h"
#include "model/contract_version.h"

#include <optional>

namespace galenaroad {

class name_pool;

namespace peer {
class ContractHead;
class EjectionRecord;
class MemberRecord;
class StateChange;
} // namespace peer

/// Converts the records that messages consist of; see message_codec.

/// @param known a member.
/// @param wire set to its protobuf form.
void encode_record(const member& known, peer::MemberRecord& wire);
/// @param change a change of state.
/// @param wire set to its protobuf form.
void encode_record(const state_change& change, peer::StateChange& wire);
/// @param head a contract version.
/// @param wire set to its protobuf form.
void encode_record(const contract_head& head, peer::ContractHead& wire);
/// @param row an ejection row.
/// @param wire set to its protobuf form.
void encode_record(const ejection_row_copy& row, peer::EjectionRecord& wire);

/// @return the member, or nothing when it has no name.
std::optional<member> decode_record(const peer::MemberRecord& wire, name_pool& names);
/// @return the change, or nothing when its state is not known.
std::optional<state_change> decode_record(const peer::StateChange& wire);
/// @return the contract version.
contract_head decode_record(const peer::ContractHead& wire);
/// @return the row.
ejection_row_copy decode_record(const peer::EjectionRecord& wire);

} // namespace galenaroad
