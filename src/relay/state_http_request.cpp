#include "relay/state_http_request.h"

namespace galenaroad {

namespace {

using namespace std::chrono_literals;

constexpr auto connect_timeout = 400ms;
constexpr std::uint64_t max_response_bytes = std::uint64_t{16} * 1024 * 1024;

} // namespace

client_request make_state_http_request(const std::string& peer, const state_request& request,
                                       const state_request_limits& limits)
{
    client_request http_request;
    http_request.head.method = "GET";
    http_request.head.target = peer_state_codec::encode(request);
    http_request.head.fields = {{"Host", peer}};
    http_request.connect_timeout = connect_timeout;
    http_request.max_idle = limits.max_idle;
    http_request.time_limit = limits.timeout;
    http_request.limits.max_body_bytes = max_response_bytes;
    return http_request;
}

} // namespace galenaroad
