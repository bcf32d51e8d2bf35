#include "relay/owner_response_builder.h"

#include <Poco/Net/HTTPResponse.h>

namespace galenaroad {

namespace {

http_response_head with_report(int status, const attempt_report& message)
{
    http_response_head head;
    head.status = status;
    head.fields = {{attempt_report::header, relay_message_codec::encode(message)}};
    return head;
}

} // namespace

attempt_report owner_response_builder::report(const relay_context& context, owner_result result,
                                              owner_reason reason)
{
    attempt_report message;
    message.result = result;
    message.reason = reason;
    message.failing_percent = context.owned.failure_probability_percent();
    message.load_percent = context.owned.load_percent();
    message.plan_version = context.plan_version();
    message.token = context.responses.token();
    message.accepts_only_retryable = context.owned.accepts_only_retryable();
    return message;
}

owner_health owner_response_builder::health(const relay_context& context)
{
    constexpr double percent = 100;
    return {context.owned.failure_probability_percent() / percent,
            context.owned.load_percent() / percent, context.owned.accepts_requests(),
            context.owned.last_outcome_age(), context.owned.accepts_only_retryable()};
}

http_response_head owner_response_builder::not_run(const relay_context& context,
                                                   owner_reason reason,
                                                   std::chrono::milliseconds retry_after)
{
    auto message = report(context, owner_result::not_run, reason);
    message.retry_after = retry_after;
    return with_report(Poco::Net::HTTPResponse::HTTP_SERVICE_UNAVAILABLE, message);
}

http_response_head owner_response_builder::rejected(const attempt_report& message)
{
    return with_report(Poco::Net::HTTPResponse::HTTP_SERVICE_UNAVAILABLE, message);
}

http_response_head owner_response_builder::failed(const attempt_report& message)
{
    return with_report(Poco::Net::HTTPResponse::HTTP_BAD_GATEWAY, message);
}

} // namespace galenaroad
