#include "relay/entry_response_builder.h"

#include "fleet/relay_message_codec.h"

#include <Poco/Net/HTTPResponse.h>
#include <algorithm>
#include <array>
#include <cstdio>

namespace galenaroad {

namespace {

constexpr std::chrono::milliseconds min_retry_after(250);

std::string seconds_text(std::chrono::milliseconds time)
{
    std::array<char, 32> text{};
    const std::chrono::duration<double> seconds = time;
    const int size = std::snprintf(text.data(), text.size(), "%.2f", seconds.count());
    return {text.data(), static_cast<std::size_t>(size)};
}

} // namespace

http_response_head entry_response_builder::forwarded(http_response_head upstream)
{
    http_head::remove_connection_fields(upstream.fields);
    http_head::remove(upstream.fields, attempt_report::header);
    upstream.keep_alive = true;
    return upstream;
}

http_response_head entry_response_builder::generated(const header_names& names,
                                                     const std::string& request_id, int status)
{
    http_response_head head;
    head.status = status;
    if (!request_id.empty()) {
        head.fields.push_back({names.request_id, request_id});
    }
    return head;
}

http_response_head entry_response_builder::error(const header_names& names,
                                                 const std::string& request_id,
                                                 const entry_error& error)
{
    auto head = error.retry_after ? not_run(names, request_id, *error.retry_after)
                                  : generated(names, request_id, error.status);
    head.status = error.status;
    if (error.status == Poco::Net::HTTPResponse::HTTP_UNAUTHORIZED) {
        head.fields.push_back({"WWW-Authenticate", "Bearer"});
    }
    return head;
}

http_response_head entry_response_builder::not_run(const header_names& names,
                                                   const std::string& request_id,
                                                   std::chrono::milliseconds retry_after)
{
    auto head = generated(names, request_id, Poco::Net::HTTPResponse::HTTP_SERVICE_UNAVAILABLE);
    head.fields.push_back({"Retry-After", seconds_text(std::max(retry_after, min_retry_after))});
    return head;
}

} // namespace galenaroad
