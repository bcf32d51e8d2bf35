#pragma once

#include "fleet/relay_message_codec.h"
#include "net/http_head.h"
#include "relay/relay_context.h"

namespace galenaroad {

/// Builds the reports and responses that an owner sends to entry daemons.
class owner_response_builder {
public:
    /// @return the health of the owned upstream, as reported to peers.
    static owner_health health(const relay_context& context);

    /// @param context state of the owner.
    /// @param result result of the request.
    /// @param reason why the request was refused or failed.
    /// @return the report, including the health of the upstream.
    static attempt_report report(const relay_context& context, owner_result result,
                                 owner_reason reason);

    /// @param context state of the owner.
    /// @param reason why the request was refused.
    /// @param retry_after time after which the request may be sent again.
    /// @return head of a response which states that the request has not run and will not run.
    static http_response_head not_run(const relay_context& context, owner_reason reason,
                                      std::chrono::milliseconds retry_after);

    /// @param message the report to send, with the result `rejected`.
    /// @return head of a response which states that the upstream has rejected the request, without
    /// the upstream's own response.
    static http_response_head rejected(const attempt_report& message);

    /// @param message the report to send, with the result `failed`.
    /// @return head of a response which states that the request may have run.
    static http_response_head failed(const attempt_report& message);
};

} // namespace galenaroad
