#pragma once

#include <cstdint>
#include <string>

namespace galenaroad {

/// One run of a daemon.
struct daemon_identity {
    std::string instance;
    std::string peer_address;      ///< IP number and port of the daemon's gRPC listener.
    std::uint64_t incarnation = 0; ///< Start of the daemon; a restarted daemon has a higher one.
};

} // namespace galenaroad
