#pragma once

#include "net/http_head.h"
#include "relay/header_names.h"

#include <chrono>
#include <string>

namespace galenaroad {

/// Composes what an entry daemon tells clients.
class entry_response_builder {
public:
    /// @param upstream head of an upstream's response, as its owner passed it on.
    /// @return the head for the client, without what concerns one connection or daemons only.
    static http_response_head forwarded(http_response_head upstream);

    /// @param names the header fields.
    /// @param request_id the request's id, or empty.
    /// @param status the status.
    /// @return head of a response of the daemon's own.
    static http_response_head generated(const header_names& names, const std::string& request_id,
                                        int status);

    /// As generated(), for a request that has not run and may be sent again.
    /// @param retry_after when; raised to the least time that makes a difference.
    static http_response_head not_run(const header_names& names, const std::string& request_id,
                                      std::chrono::milliseconds retry_after);
};

} // namespace galenaroad
