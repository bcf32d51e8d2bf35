#include "relay/state_request.h"

namespace galenaroad {

namespace {

using namespace std::chrono_literals;

constexpr auto connect_timeout = 400ms;
constexpr std::uint64_t max_answer_bytes = std::uint64_t{16} * 1024 * 1024;

} // namespace

client_request make_state_request(const std::string& peer, const state_question& question,
                                  const state_request_times& times)
{
    client_request request;
    request.head.method = "GET";
    request.head.target = peer_state_codec::encode(question);
    request.head.fields = {{"Host", peer}};
    request.connect_timeout = connect_timeout;
    request.max_idle = times.max_idle;
    request.time_limit = times.limit;
    request.limits.max_body_bytes = max_answer_bytes;
    return request;
}

} // namespace galenaroad
