#pragma once

#include "fleet/relay_message_codec.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "relay/header_names.h"

#include <chrono>
#include <string>

namespace galenaroad {

/// Builds the requests that an owner sends to its upstream.
class upstream_request_builder {
public:
    /// @param names the header fields.
    /// @param received the request from the entry daemon.
    /// @param metadata the metadata that the entry daemon sent with the request; clients cannot
    /// choose the fields that are set from it.
    /// @param upstream_id the upstream that may run the request.
    /// @param remaining time that the client will still wait.
    /// @return the request.
    static client_request build(const header_names& names, const server_exchange& received,
                                const attempt_metadata& metadata, const std::string& upstream_id,
                                std::chrono::milliseconds remaining);
};

} // namespace galenaroad
