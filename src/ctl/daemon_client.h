#pragma once

#include "base/error_kind.h"

#include <string>
#include <vector>

namespace galenaroad {

/// Answer of a daemon to an operator's request.
struct daemon_answer {
    error_kind kind = error_kind::ok; ///< `peer_unreachable` when no complete answer arrived.
    std::string body;
    std::string detail; ///< What failed.
};

/// Sends operators' requests to a daemon by HTTP.
class daemon_client {
public:
    /// @param address admin or entry address of the daemon.
    explicit daemon_client(std::string address);

    /// Sends a request and waits for its answer.
    /// @param method the HTTP method.
    /// @param path the segments of the path; each is percent-encoded.
    /// @param body the body; may be empty.
    /// @return the answer.
    daemon_answer ask(const std::string& method, const std::vector<std::string>& path,
                      const std::string& body) const;

private:
    std::string m_address;
};

} // namespace galenaroad
