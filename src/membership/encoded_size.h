#pragma once

#include "membership/gossip_message.h"

#include <cstddef>

namespace galenaroad {

/// Upper bounds of the encoded size of updates in a protobuf message, in bytes. With them the
/// update queue keeps its byte budget without encoding. message_codec_test.cpp checks them against
/// the codec.

/// @param update a member's record.
std::size_t encoded_bound(const member& update);

/// @param change a change of state.
std::size_t encoded_bound(const state_change& change);

/// @param head a contract version.
std::size_t encoded_bound(const contract_head& head);

/// @param row an ejection row.
std::size_t encoded_bound(const ejection_row_copy& row);

} // namespace galenaroad
