#include "relay/upstream_response.h"

#include "net/http_status.h"

#include <Poco/Net/HTTPResponse.h>

namespace galenaroad {

namespace {

// A success must carry the upstream's stamp. No content coding was requested, so that a coded body
// is not the upstream's own.
bool is_genuine_head(const http_response_head& head, const header_names& names)
{
    const bool has_stamp = http_head::find(head.fields, names.response_stamp).has_value();
    const bool is_coded = http_head::find(head.fields, "Content-Encoding").has_value();
    return !is_coded && (has_stamp || !is_success(head.status));
}

} // namespace

response_match upstream_response::origin_of(const http_response_head& head,
                                            std::string_view identity_field,
                                            std::string_view request_id)
{
    const auto identity = http_head::find(head.fields, identity_field);
    if (!identity) {
        return request_id.empty() ? response_match::own : response_match::unknown;
    }
    return *identity == request_id ? response_match::own : response_match::other;
}

upstream_response::upstream_response(const http_response_head& head, const header_names& names,
                                     steady_time now)
    : m_status(head.status),
      m_is_rejection(http_head::find(head.fields, names.not_run).has_value() ||
                     head.status == Poco::Net::HTTPResponse::HTTP_MISDIRECTED_REQUEST),
      m_is_genuine(is_genuine_head(head, names)),
      m_framing(head.framing),
      m_started_at(now)
{
}

} // namespace galenaroad
