#include "relay/owner_response_builder.h"

#include <Poco/Net/HTTPResponse.h>

namespace galenaroad {

owner_report owner_response_builder::report(const relay_context& context, owner_result result,
                                            owner_reason reason)
{
    owner_report message;
    message.result = result;
    message.reason = reason;
    message.failing_percent = context.owned.failure_probability_percent();
    message.load_percent = context.owned.load_percent();
    message.plan_version = context.plan_version();
    message.token = context.answers.token();
    return message;
}

owner_health owner_response_builder::health(const relay_context& context)
{
    constexpr double percent = 100;
    return {context.owned.failure_probability_percent() / percent,
            context.owned.load_percent() / percent, context.owned.accepts_requests(),
            context.owned.last_outcome_age()};
}

http_response_head owner_response_builder::not_run(const relay_context& context,
                                                   owner_reason reason,
                                                   std::chrono::milliseconds retry_after)
{
    auto message = report(context, owner_result::not_run, reason);
    message.retry_after = retry_after;
    http_response_head head;
    head.status = Poco::Net::HTTPResponse::HTTP_SERVICE_UNAVAILABLE;
    head.fields = {{owner_report::header, relay_message::encode(message)}};
    return head;
}

http_response_head owner_response_builder::failed(const owner_report& message)
{
    http_response_head head;
    head.status = Poco::Net::HTTPResponse::HTTP_BAD_GATEWAY;
    head.fields = {{owner_report::header, relay_message::encode(message)}};
    return head;
}

} // namespace galenaroad
