#pragma once

#include "net/http_head.h"
#include "relay/relay_context.h"
#include "relay/relay_message_codec.h"

namespace galenaroad {

/// Composes what an owner tells entry daemons.
class owner_response_builder {
public:
    /// @return the condition of the owned upstream, as peers are told.
    static owner_health health(const relay_context& context);

    /// @param context state of the owner.
    /// @param result what became of the request.
    /// @param reason why, when it was refused or failed.
    /// @return the report, with the condition of the upstream.
    static attempt_report report(const relay_context& context, owner_result result,
                                 owner_reason reason);

    /// @param context state of the owner.
    /// @param reason why the request was refused.
    /// @param retry_after when it may be sent again.
    /// @return head of a response that tells that the request has not run and will not run.
    static http_response_head not_run(const relay_context& context, owner_reason reason,
                                      std::chrono::milliseconds retry_after);

    /// @param told what became of the request, with the result `failed`.
    /// @return head of a response that tells that the request may have run.
    static http_response_head failed(const attempt_report& message);
};

} // namespace galenaroad
