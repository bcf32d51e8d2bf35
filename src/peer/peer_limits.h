#pragma once

#include <chrono>
#include <cstddef>

namespace galenaroad {

/// Greatest size of a body chunk in a message between daemons.
constexpr std::size_t max_chunk_bytes = std::size_t{64} * 1024;

/// Greatest size of any message between daemons: a chunk or a head of 32 KiB with its framing.
/// Contracts below 64 KiB travel inside one message as well, together with member records.
constexpr int max_peer_message_bytes = 4 * 1024 * 1024;

/// A connection that answers no ping within these times has gone silent and is closed.
constexpr auto peer_keepalive_interval = std::chrono::milliseconds(2000);
constexpr auto peer_keepalive_timeout = std::chrono::milliseconds(1000);

} // namespace galenaroad
