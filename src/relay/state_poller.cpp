#include "relay/state_poller.h"

#include "relay/state_http_request.h"

#include <algorithm>

namespace galenaroad {

namespace {

using namespace std::chrono_literals;

// Bounds the wait for a suspended peer and for one that sends its response very slowly.
constexpr auto response_timeout = 3s;
constexpr std::size_t max_pending_requests = 4;
// Purpose of the requests in metrics.
constexpr const char* purpose = "poll";

} // namespace

state_poller::state_poller(relay_context& context, state_hook on_state,
                           unreachable_hook on_unreachable)
    : m_context(context),
      m_on_state(std::move(on_state)),
      m_on_unreachable(std::move(on_unreachable))
{
}

void state_poller::request_state(const std::string& peer)
{
    if (!make_room()) {
        return;
    }
    state_request request;
    request.plan_version = m_context.plan_version();
    request.digest = m_context.directory.digest();
    request.address = m_context.location.address;
    state_request_limits limits;
    limits.timeout = response_timeout;
    const auto pending = m_requests.insert(m_requests.end(), {peer, {}, nullptr});
    client_hooks callbacks;
    callbacks.head = [](const http_response_head&) {};
    callbacks.body = [pending](std::string_view bytes) { pending->response_body.append(bytes); };
    callbacks.complete = [this, pending] { on_response(pending); };
    callbacks.failed = [this, pending](exchange_error) { on_failed(pending); };
    pending->call = m_context.peers.send(peer, make_state_http_request(peer, request, limits),
                                         std::move(callbacks));
}

// Abandons the oldest request of a peer that has sent nothing, if there are too many requests.
// Returns false when all peers are sending their responses.
bool state_poller::make_room()
{
    if (m_requests.size() < max_pending_requests) {
        return true;
    }
    const auto silent = std::find_if(m_requests.begin(), m_requests.end(),
                                     [](const auto& each) { return each.response_body.empty(); });
    if (silent == m_requests.end()) {
        m_context.metrics.record_state_request(purpose, "not_sent");
        return false;
    }
    silent->call->cancel();
    m_context.metrics.record_state_request(purpose, "failed");
    const auto peer = silent->peer;
    m_requests.erase(silent);
    m_on_unreachable(peer);
    return true;
}

void state_poller::on_response(request_iterator pending)
{
    const auto finished = std::move(*pending);
    m_requests.erase(pending);
    m_context.metrics.record_state_request(purpose, "ok");
    const auto state = peer_state_codec::decode_state(finished.response_body);
    if (!state) {
        m_context.log.note_state("peer_answer_unreadable", {{"peer", finished.peer}});
        return;
    }
    m_on_state(*state, finished.peer);
}

void state_poller::on_failed(request_iterator pending)
{
    const auto finished = std::move(*pending);
    m_requests.erase(pending);
    m_context.metrics.record_state_request(purpose, "failed");
    m_on_unreachable(finished.peer);
}

} // namespace galenaroad
