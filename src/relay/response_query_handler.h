#pragma once

#include "fleet/relay_message_codec.h"
#include "net/http_server.h"
#include "relay/relay_context.h"

#include <memory>

namespace galenaroad {

/// Handles response queries of entry daemons whose connection for a request to this owner was lost.
class response_query_handler {
public:
    /// @param context state of the owner; must outlive the exchange.
    /// @param client the entry daemon's exchange.
    /// @param query identifies the attempt whose response is requested.
    static void handle(relay_context& context, const std::shared_ptr<server_exchange>& client,
                       const response_query& query);
};

} // namespace galenaroad
