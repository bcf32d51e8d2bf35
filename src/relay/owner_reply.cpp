#include "relay/owner_reply.h"

#include <Poco/Net/HTTPResponse.h>

namespace galenaroad {

attempt_report owner_reply::report(const relay_context& context, owner_result result,
                                   owner_reason reason)
{
    attempt_report told;
    told.result = result;
    told.reason = reason;
    told.failing_percent = context.owned.failing_percent();
    told.load_percent = context.owned.load_percent();
    told.plan_version = context.plan_version();
    told.token = context.responses.token();
    return told;
}

owner_condition owner_reply::condition(const relay_context& context)
{
    constexpr double percent = 100;
    return {context.owned.failing_percent() / percent, context.owned.load_percent() / percent,
            context.owned.takes_work(), context.owned.tested_ago()};
}

http_response_head owner_reply::not_run(const relay_context& context, owner_reason reason,
                                        std::chrono::milliseconds retry_after)
{
    auto told = report(context, owner_result::not_run, reason);
    told.retry_after = retry_after;
    http_response_head head;
    head.status = Poco::Net::HTTPResponse::HTTP_SERVICE_UNAVAILABLE;
    head.fields = {{attempt_report::header, relay_message_codec::encode(told)}};
    return head;
}

http_response_head owner_reply::failed(const attempt_report& told)
{
    http_response_head head;
    head.status = Poco::Net::HTTPResponse::HTTP_BAD_GATEWAY;
    head.fields = {{attempt_report::header, relay_message_codec::encode(told)}};
    return head;
}

} // namespace galenaroad
