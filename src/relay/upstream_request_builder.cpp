#include "relay/upstream_request_builder.h"

namespace galenaroad {

namespace {

constexpr std::chrono::milliseconds connect_timeout(300);

} // namespace

client_request upstream_request_builder::build(const header_names& names,
                                               const server_exchange& received,
                                               const attempt_metadata& metadata,
                                               const std::string& upstream_id,
                                               std::chrono::milliseconds remaining)
{
    client_request request;
    request.head = received.head();
    auto& fields = request.head.fields;
    http_head::remove_connection_fields(fields);
    http_head::remove(fields, attempt_metadata::header);
    http_head::set(fields, names.remaining_ms, std::to_string(remaining.count()));
    http_head::set(fields, names.expected_upstream, upstream_id);
    http_head::set(fields, names.caller_service, metadata.caller_service);
    if (!metadata.account.empty()) {
        http_head::set(fields, names.account, metadata.account);
    }
    request.head.framing = {};
    request.body = received.body_bytes();
    request.connect_timeout = connect_timeout;
    return request;
}

} // namespace galenaroad
