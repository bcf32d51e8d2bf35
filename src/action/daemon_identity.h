#pragma once

#include <cstdint>
#include <string>

namespace galenaroad {

/// Identity of a running daemon.
struct daemon_identity {
    std::string instance;
    std::string peer_address;      ///< IP address and port of the daemon's gRPC listener.
    std::uint64_t incarnation = 0; ///< Identifies a run of the daemon; higher after a restart.
};

} // namespace galenaroad
