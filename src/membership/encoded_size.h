#pragma once

#include "membership/gossip_message.h"

#include <cstddef>

namespace galenaroad {

/// Upper bounds of the bytes that updates take in a protobuf message. They let the update queue
/// keep its budget without encoding; message_codec_test.cpp compares them with the codec.

/// @param update a member's record.
std::size_t encoded_bound(const member& update);

/// @param change a change of state.
std::size_t encoded_bound(const state_change& change);

/// @param head a contract version.
std::size_t encoded_bound(const contract_head& head);

/// @param row an ejection row.
std::size_t encoded_bound(const ejection_row_copy& row);

} // namespace galenaroad
